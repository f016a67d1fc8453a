"""Tests of which members count as gone."""

from dewstep_fleet import builders, member_presence, model

SECOND = builders.SECOND


def build_members(*nodes, incarnation="1"):
    return [model.Member(node, incarnation, "dc-1", "h", 1) for node in nodes]


def build_presence(*observations):
    """Return the presence of "a" and "b" after nodes reported at given seconds."""
    presence = member_presence.Presence()
    for seconds, reporting in observations:
        presence.observe(build_members("a", "b"), reporting, seconds * SECOND)
    return presence


def test_silent_member_is_listed_after_the_duration():
    presence = build_presence((1, {"a"}), (3, {"a"}))
    assert presence.list_silent(5 * SECOND, 5 * SECOND) == frozenset()
    assert presence.list_silent(5 * SECOND, 6 * SECOND) == {"b"}


# Guards against a member that counts as gone since it was silent some time ago.
def test_report_ends_the_silence():
    presence = build_presence((1, {"a"}), (2, {"a", "b"}), (5, {"a"}))
    assert presence.list_silent(4 * SECOND, 6 * SECOND) == frozenset()
    assert presence.list_silent(4 * SECOND, 9 * SECOND) == {"b"}


# Guards against a silence of an earlier term, in which other links were open.
def test_silence_begins_anew_with_a_term():
    presence = build_presence((1, set()))
    presence.reset()
    presence.observe(build_members("a", "b"), set(), 9 * SECOND)
    assert presence.list_silent(SECOND, 9 * SECOND) == frozenset()


def test_removed_member_is_not_listed():
    presence = build_presence((1, set()))
    presence.observe(build_members("b"), set(), 9 * SECOND)
    assert presence.list_silent(SECOND, 9 * SECOND) == {"b"}


# Guards against removing the row of an instance that has just started again.
def test_silence_begins_anew_with_an_incarnation():
    presence = build_presence((1, set()))
    restarted = build_members("a", "b", incarnation="2")
    presence.observe(restarted, set(), 9 * SECOND)
    assert presence.list_silent(SECOND, 9 * SECOND) == frozenset()
