import asyncio
import datetime
import random

from returns import result

from dewstep_core import clock as clocks, data, errors
from dewstep_emulator import builders
from dewstep_entry import failures
from dewstep_entry.pipeline import routing
from dewstep_entry.policy import retries
from dewstep_entry.state import view

ZERO = datetime.timedelta()
PEER = data.Member("e2", "i2", "dc1", "127.0.0.1", 7002)
ANSWER = builders.build_answer()


class Gates:
    """Stands for the gates and the links to peers; answers as told."""

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


def ask(router, idempotent=True, rest=None, seconds=5.0):
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


def test_a_request_waits_for_a_change_of_ownership():
    moving = result.Failure(errors.ShardMoving("history", 1))
    gates = Gates(moving, moving, result.Success(ANSWER))
    router = build_router(gates)
    assert ask(router, idempotent=False).unwrap() == ANSWER
    assert (gates.calls, router.tries_again, router.in_progress) == (3, 2, 0)


def test_a_request_that_finds_no_place_is_refused_before_its_deadline():
    gates = Gates(result.Failure(errors.NotTheGate("t1", 2)))
    router = build_router(gates)
    started = router.clock.monotonic()
    assert isinstance(ask(router, seconds=60).failure(), errors.NotTheGate)
    assert router.clock.monotonic() - started < 2 * routing.PATIENCE


def test_what_may_have_run_is_sent_again_only_if_idempotent():
    # A booking that was passed to a gate that died must not run twice.
    lost = result.Failure(errors.ConnectionLost("e2"))
    gates = Gates(lost, result.Success(ANSWER))
    router = build_router(gates)
    assert isinstance(ask(router, idempotent=False).failure(), errors.ConnectionLost)
    assert gates.calls == 1
    gates = Gates(lost, result.Success(ANSWER))
    router = build_router(gates)
    for _ in range(20):
        router.budgets.add_first_attempt("history", "")
    assert ask(router).unwrap() == ANSWER


def test_a_failure_that_the_gate_answered_is_final():
    # The gate has a retry budget of its own; two budgets would multiply.
    answered = failures.answer_failure(errors.ConnectionLost("t1"))
    gates = Gates(result.Success(answered))
    assert ask(build_router(gates)).unwrap().failure == "ConnectionLost"
    assert gates.calls == 1
    gates = Gates(result.Failure(errors.ConnectionLost("t1")))
    own = build_router(gates, entry="e2")
    for _ in range(20):
        own.budgets.add_first_attempt("history", "")
    assert isinstance(ask(own).failure(), errors.ConnectionLost)
    assert gates.calls == 1


def test_a_body_that_is_being_streamed_is_sent_once():
    async def stream():
        yield b""

    gates = Gates(result.Failure(errors.ShardMoving("history", 1)))
    assert isinstance(
        ask(build_router(gates), rest=stream()).failure(), errors.ShardMoving
    )
    assert gates.calls == 1


def test_a_replaced_gate_process_is_not_asked():
    # Another run of the process does not know that it should be the gate.
    gates = Gates(result.Success(ANSWER))
    router = build_router(gates, gate_incarnation="older")
    failure = ask(router, seconds=0.1).failure()
    assert isinstance(failure, errors.PeerUnreachable) and gates.calls == 0


def test_the_own_gate_is_asked_without_a_link():
    gates = Gates(result.Success(ANSWER))
    assert ask(build_router(gates, entry="e2")).unwrap() == ANSWER


def test_a_refusal_of_a_later_try_does_not_hide_that_an_earlier_one_may_have_run():
    # "Not run" would be false if the gate that was lost had passed the request on.
    lost = result.Failure(errors.ConnectionLost("e2"))
    gates = Gates(lost, result.Failure(errors.PeerUnreachable("e2")))
    router = build_router(gates)
    for _ in range(20):
        router.budgets.add_first_attempt("history", "")
    assert isinstance(ask(router).failure(), errors.ConnectionLost)
    assert gates.calls > 1
