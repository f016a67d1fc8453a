"""Tests of orders to a target whose process ends, restarts or is replaced."""

import pytest

from dewstep_core import clocks
from dewstep_emulator import testing
from dewstep_fleet import builders, event_capture, model, target_orders

DURATION = 2.5 * builders.SECOND
HOLDING = model.Holding(0, 99, "a", 1, 1_000)


class Sender:
    """Orders to target "a", with a term that the test confirms or not."""

    def __init__(self):
        self.clock = clocks.ManualClock()
        self.targets = builders.FakeTargets(self.clock)
        self.target = builders.build_target("a")
        self.confirmed = True
        self.confirmations = []
        self.orders = target_orders.TargetOrders(
            self.targets,
            self.clock,
            1,
            lambda: True,
            self.confirm_term,
            lambda: DURATION,
        )

    async def confirm_term(self, since):
        self.confirmations.append(since)
        return self.confirmed

    async def grant(self):
        return await self.orders.grant(self.target, HOLDING, "")

    def list_numbers(self):
        return [item.holding.generation for item in self.targets.accepted]


@testing.run_in_event_loop
async def test_renewals_use_one_connection_and_one_number(monkeypatch):
    log = event_capture.EventCapture(monkeypatch)
    sender = Sender()
    for _ in range(3):
        assert (await sender.grant()).unwrap() is None
    assert sender.list_numbers() == [1_000]
    assert len(sender.confirmations) == 1
    assert len(log.find("order_connection", target="a", life=1)) == 1
    assert len(log.find("grant_sent", target="a", connection=1)) == 1


# Guards against a fence that counts as accepted, as the answer to an earlier grant came
# once more.
@testing.run_in_event_loop
async def test_fence_is_the_first_order_on_its_connection(monkeypatch):
    log = event_capture.EventCapture(monkeypatch)
    sender = Sender()
    await sender.grant()
    fence = HOLDING._replace(generation=2_000)
    outcome = await sender.orders.grant(
        sender.target, fence, "", on_new_connection=True
    )
    assert outcome.unwrap() is None
    assert len(log.find("order_connection", target="a", life=1)) == 2


@testing.run_in_event_loop
async def test_restarted_process_gets_a_higher_number():
    # Guards against a number that the previous process of the same name had.
    sender = Sender()
    await sender.grant()
    sender.targets.restart("a")
    assert (await sender.grant()).unwrap() is None
    assert sender.list_numbers() == [1_000, 1_001]


@testing.run_in_event_loop
async def test_new_connection_is_not_used_before_the_term_is_confirmed():
    # Guards against orders of a deposed coordinator to a process that has not received
    # any order of its successor.
    sender = Sender()
    await sender.grant()
    sender.targets.restart("a")
    sender.confirmed = False
    assert testing.fails(await sender.grant(), model.TermUnconfirmed)
    assert sender.list_numbers() == [1_000]


@testing.run_in_event_loop
async def test_process_may_end_while_the_term_is_confirmed():
    # Guards against a task that fails because the connection was closed meanwhile.
    sender = Sender()

    async def record_end(since):
        sender.orders.record_process_end()
        return True

    sender.orders.confirm_term = record_end
    assert (await sender.grant()).unwrap() is None
    assert sender.list_numbers() == [1_000]


@pytest.mark.parametrize("order", ["grant", "release"])
@testing.run_in_event_loop
async def test_grants_end_with_their_process(order):
    # Guards against waiting for the expiry of grants of a process that has ended.
    sender = Sender()
    await sender.grant()
    assert sender.orders.outstanding.expiry > sender.clock.monotonic() + DURATION
    sender.targets.replace("a", "b")
    if order == "grant":
        outcome = await sender.grant()
    else:
        outcome = await sender.orders.release(sender.target, HOLDING)
    assert testing.fails(outcome, model.TargetReplaced)
    assert sender.orders.outstanding.expiry == sender.clock.monotonic()


@testing.run_in_event_loop
async def test_release_names_the_number_of_the_last_grant():
    sender = Sender()
    await sender.grant()
    sender.orders.close()
    await sender.grant()
    (first, second) = sender.list_numbers()
    assert (first, second) == (1_000, 1_001)
    await sender.orders.release(sender.target, HOLDING)
    assert sender.targets.list_held("a") == []


@testing.run_in_event_loop
async def test_range_without_a_free_number_is_not_granted():
    sender = Sender()
    for _ in range(1_000):
        assert (await sender.grant()).unwrap() is None
        sender.orders.close()
    assert testing.fails(await sender.grant(), model.NumbersUsedUp)
