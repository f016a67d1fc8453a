"""Tests of what a member concludes from the messages of its coordinator."""

from dewstep_fleet import builders, event_capture, frames, membership, model

NOW = 100 * builders.SECOND
MOMENT = builders.MILLISECOND
ALL = frozenset(model.TABLES)
FLEET = frozenset({model.TABLES.fleet})


def receive(known, now, **fields):
    """Return the contact after a heartbeat."""
    frame = frames.Frame("beat", 2, "n1", "i", **fields)
    return membership.record_message(known, frame, now)


def choose(contact, now, coordinating=False, deputy=False):
    return membership.choose_tables(contact, now, coordinating, deputy)


# Guards against following a coordinator that does not reach the store for ever.
def test_only_healthy_heartbeats_postpone_the_election():
    contact = membership.Contact(NOW, NOW)
    due = NOW + membership.HEARTBEAT_TIMEOUT
    assert membership.has_healthy_coordinator(contact, due)
    assert not membership.has_healthy_coordinator(contact, due + MOMENT)
    unhealthy = receive(contact, due, contact=False)
    assert unhealthy == membership.Contact(due, NOW, coordinator_healthy=False)
    assert not membership.has_healthy_coordinator(unhealthy, due)
    healthy = receive(unhealthy, due, contact=True)
    assert healthy == membership.Contact(due, due)


# Guards against a wait of the whole time-out for a coordinator that says that it stops.
def test_stopping_coordinator_counts_as_failed_at_once():
    contact = membership.Contact(NOW, NOW)
    stopping = receive(contact, NOW, contact=True, stopping=True)
    assert stopping.healthy_heartbeat_at == NOW - membership.HEARTBEAT_TIMEOUT
    assert not membership.has_healthy_coordinator(stopping, NOW)


# Guards against changes that a member without heartbeats does not see, and against
# store calls in proportion to the number of instances.
def test_members_read_the_store_only_without_heartbeats():
    contact = membership.Contact(NOW, NOW)
    due = NOW + membership.DIRECT_READ_TIMEOUT
    assert choose(contact, due) == frozenset()
    assert choose(contact, due + MOMENT) == ALL
    assert choose(contact, NOW, deputy=True) == membership.DEPUTY_TABLES
    assert choose(contact, NOW, coordinating=True) == ALL


# Guards against missing the row of a successor while its predecessor still sends.
def test_members_of_an_unhealthy_coordinator_read_who_coordinates():
    unhealthy = membership.Contact(NOW, NOW, coordinator_healthy=False)
    assert choose(unhealthy, NOW) == FLEET
    long_ago = NOW - membership.DIRECT_READ_TIMEOUT - MOMENT
    assert choose(membership.Contact(NOW, long_ago), NOW) == FLEET


# Guards against an election after a pause of the process itself.
def test_timeouts_start_again_after_a_pause():
    paused = membership.Contact(NOW, NOW, coordinator_healthy=False)
    later = NOW + 60 * builders.SECOND
    expected = membership.Contact(later, later, coordinator_healthy=False)
    assert membership.restart(paused, later) == expected


def test_late_messages_let_an_instance_read_the_store(monkeypatch):
    # Guards against CONFIG: an instance that takes old news for new ones.
    log = event_capture.EventCapture(monkeypatch)
    own = membership.Membership(builders.SECOND)
    for number in range(1, 30):
        late = builders.SECOND / 10 * min(number, 10)
        sent_ms = 100 * number
        frame = frames.Frame("beat", 1, "n", "n-1", contact=True, heartbeat_ms=sent_ms)
        own.record_message(
            frame, 9 * builders.SECOND + sent_ms * builders.MILLISECOND + late
        )
    now = own.contact.healthy_heartbeat_at
    assert membership.choose_tables(own.contact, now, False, False)
    assert membership.has_healthy_coordinator(own.contact, now)
    assert log.find("coordinator_late", late=True)
