"""Tests of when the ownership of a range has ended."""

from dewstep_fleet import builders, outstanding, ownership_ends

NOW = 100 * builders.SECOND
DURATION = 2.5 * builders.SECOND


def build_grants(unanswered=False, inherited=False):
    """Return the bounds of a process after one grant, sent and ended at `NOW`."""
    grants = outstanding.build_ended(NOW)
    if inherited:
        expiry = outstanding.compute_inherited_expiry(NOW, DURATION)
        grants = outstanding.record_inherited(grants, expiry)
    grants = outstanding.record_sending(grants, NOW, DURATION)
    record = outstanding.record_answer
    if unanswered:
        record = outstanding.record_lost_answer
    return record(grants, NOW, DURATION)


# Guards against granting a range that its owner, which cannot be reached, still holds.
def test_ownership_without_a_release_ends_with_the_last_grant():
    grants = build_grants()
    end = ownership_ends.build_unreleased(grants)
    assert ownership_ends.compute_wait(end, NOW) == grants.expiry - NOW > DURATION
    assert end.reason == "expired"


# Guards against keys that wait for grants that the release has ended.
def test_release_without_a_late_grant_ends_the_ownership_at_once():
    end = ownership_ends.build_unreleased(build_grants())
    end = ownership_ends.record_release(end)
    assert ownership_ends.compute_wait(end, NOW) == 0 * DURATION
    assert end.reason == "released"


# Guards against two owners after a grant took effect that arrived after the release.
def test_release_with_a_late_grant_does_not_end_the_ownership():
    for grants in (build_grants(unanswered=True), build_grants(inherited=True)):
        end = ownership_ends.build_unreleased(grants)
        end = ownership_ends.record_release(end)
        assert end.expiry == grants.late_until > NOW + DURATION


# Guards against waiting for grants that the owner rejects.
def test_accepted_fence_lets_the_release_end_the_ownership():
    end = ownership_ends.build_unreleased(build_grants(unanswered=True))
    end = ownership_ends.record_accepted_fence(end, build_grants(), NOW)
    assert end.is_fenced
    end = ownership_ends.record_release(end)
    assert ownership_ends.compute_wait(end, NOW) == 0 * DURATION


# Guards against a fence that takes effect after the release.
def test_unanswered_fence_extends_the_ownership():
    grants = build_grants(unanswered=True)
    end = ownership_ends.build_unreleased(grants)
    later = NOW + builders.SECOND
    fenced = outstanding.record_sending(grants, later, DURATION)
    fenced = outstanding.record_lost_answer(fenced, later, DURATION)
    end = ownership_ends.record_unanswered_fence(end, fenced)
    assert not end.is_fenced
    assert end.late_until == fenced.unanswered_until > grants.unanswered_until
    assert ownership_ends.record_release(end).expiry == fenced.unanswered_until


# Guards against waiting for the grants of an owner that was found to have ended, and
# against ending an ownership early because a release got no answer.
def test_failed_release_ends_the_ownership_only_with_the_owner():
    grants = build_grants()
    end = ownership_ends.build_unreleased(grants)
    unanswered = ownership_ends.record_failed_release(end, grants)
    assert unanswered.expiry == grants.expiry
    ended = ownership_ends.record_failed_release(end, outstanding.build_ended(NOW))
    assert (ended.expiry, ended.reason) == (NOW, "expired")
