import asyncio
import datetime
import random

import pytest
from returns import result

from dewstep_core import clocks, data, errors
from dewstep_emulator import builders
from dewstep_entry import failures
from dewstep_entry.pipeline import routing
from dewstep_entry.policy import retries
from dewstep_entry.state import view

ZERO = datetime.timedelta()
PEER = data.Member("e2", "i2", "dc1", "127.0.0.1", 7002)
ANSWER = builders.build_answer()


class FakeGates:
    """Fake gates and peer links that return prepared outcomes, repeating the last."""

    def __init__(self, *outcomes):
        self.outcomes = list(outcomes)
        self.calls = 0

    async def handle(self, request):
        self.calls += 1
        outcome = self.outcomes.pop(0) if len(self.outcomes) > 1 else self.outcomes[0]
        return outcome

    async def exchange(self, member, request):
        return await self.handle(request)


def build_router(gates, entry="e1", gate_incarnation="i2"):
    holder = view.ViewHolder()
    holder.offer_configuration(builders.build_configuration())
    for service in holder.current.configuration.services:
        owners = ("t1",) * 4
        holder.offer_assignment(data.Assignment(service, 1, owners, {}, ()))
    holder.offer_gate(
        data.GateRow("t1", "e2", gate_incarnation, "127.0.0.1", 7002, 1, 1)
    )
    holder.set_member(view.MemberState(PEER, ZERO, True))
    budgets = retries.Retries(random.Random(1))
    clock = clocks.SystemClock()
    return routing.Router(entry, holder, clock, gates, gates, budgets, lambda: None)


def send_request(router, idempotent=True, rest=None, seconds=5.0):
    services = router.holder.current.configuration.services.values()
    service, kind = next(
        (service, kind)
        for service in services
        for kind in service.kinds
        if kind.idempotent == idempotent
    )
    request = builders.build_request()._replace(
        service=service.name,
        kind=kind.name,
        deadline=router.clock.monotonic() + datetime.timedelta(seconds=seconds),
        body=data.Body(b"", rest),
    )
    return asyncio.run(router.handle(request))


@pytest.mark.parametrize(
    "failure", [errors.ShardMoving("history", 1), errors.TargetLeaving("t1")]
)
def test_request_is_sent_again_while_its_shard_moves(failure):
    moving = result.Failure(failure)
    gates = FakeGates(moving, moving, result.Success(ANSWER))
    router = build_router(gates)
    assert send_request(router, idempotent=False).unwrap() == ANSWER
    assert (gates.calls, router.tries_again, router.in_progress) == (3, 2, 0)


def test_unroutable_request_is_refused_before_its_deadline():
    gates = FakeGates(result.Failure(errors.NotTheGate("t1", 2)))
    router = build_router(gates)
    started = router.clock.monotonic()
    assert isinstance(send_request(router, seconds=60).failure(), errors.NotTheGate)
    assert router.clock.monotonic() - started < 2 * routing.REROUTING_TIMEOUT


def test_request_that_may_have_run_is_sent_again_only_if_idempotent():
    # Guards against running a booking twice when its gate fails after receiving it.
    lost = result.Failure(errors.ConnectionLost("e2"))
    gates = FakeGates(lost, result.Success(ANSWER))
    router = build_router(gates)
    assert isinstance(
        send_request(router, idempotent=False).failure(), errors.ConnectionLost
    )
    assert gates.calls == 1
    gates = FakeGates(lost, result.Success(ANSWER))
    router = build_router(gates)
    for _ in range(20):
        router.budgets.add_first_attempt("history", "")
    assert send_request(router).unwrap() == ANSWER


def test_failure_answered_by_the_gate_is_not_retried():
    # Guards against multiplied retries: the gate has its own retry budget.
    answered = failures.build_failure_answer(errors.ConnectionLost("t1"))
    gates = FakeGates(result.Success(answered))
    assert send_request(build_router(gates)).unwrap().failure == "ConnectionLost"
    assert gates.calls == 1
    gates = FakeGates(result.Failure(errors.ConnectionLost("t1")))
    local_router = build_router(gates, entry="e2")
    for _ in range(20):
        local_router.budgets.add_first_attempt("history", "")
    assert isinstance(send_request(local_router).failure(), errors.ConnectionLost)
    assert gates.calls == 1


def test_request_with_streamed_body_is_sent_once():
    async def stream():
        yield b""

    gates = FakeGates(result.Failure(errors.ShardMoving("history", 1)))
    assert isinstance(
        send_request(build_router(gates), rest=stream()).failure(), errors.ShardMoving
    )
    assert gates.calls == 1


def test_request_is_not_sent_to_a_restarted_gate_process():
    # After a restart the process is no longer the gate.
    gates = FakeGates(result.Success(ANSWER))
    router = build_router(gates, gate_incarnation="older")
    failure = send_request(router, seconds=0.1).failure()
    assert isinstance(failure, errors.PeerUnreachable) and gates.calls == 0


def test_gate_of_this_process_is_called_directly():
    gates = FakeGates(result.Success(ANSWER))
    assert send_request(build_router(gates, entry="e2")).unwrap() == ANSWER


def test_unknown_outcome_of_the_first_attempt_is_reported_after_a_later_refusal():
    # "Not run" would be wrong if the lost gate had forwarded the request.
    lost = result.Failure(errors.ConnectionLost("e2"))
    gates = FakeGates(lost, result.Failure(errors.PeerUnreachable("e2")))
    router = build_router(gates)
    for _ in range(20):
        router.budgets.add_first_attempt("history", "")
    assert isinstance(send_request(router).failure(), errors.ConnectionLost)
    assert gates.calls > 1
