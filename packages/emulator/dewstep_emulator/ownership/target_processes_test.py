import datetime

import pytest

from dewstep_emulator.ownership import target_cases, target_processes

SECOND = datetime.timedelta(seconds=1)


class Runner:
    """Runs the steps of a case against the process at one address."""

    def __init__(self, clock_slowness):
        self.clock_slowness = clock_slowness
        self.late_orders = []
        self.requests = []
        self.now = 0 * SECOND
        self.start("a", 1)

    def start(self, name, life):
        process = target_processes.Process(name, "history", "10.0.0.1", 80, life)
        self.state = target_processes.ProcessState(process, self.clock_slowness)
        self.late_orders.clear()

    def grant(self, action, arrived_at):
        order = target_processes.Grant(
            action.target,
            action.first,
            action.last,
            action.generation,
            action.seconds * SECOND,
            action.handover,
        )
        return self.state.accept_grant(order, arrived_at, self.now)

    def release(self, action):
        order = target_processes.Release(
            action.target, action.first, action.last, action.generation
        )
        answer = self.state.accept_release(order)
        waits = self.state.is_running(action.first, action.last)
        return target_cases.NO_ANSWER if waits else answer

    def act(self, action):
        match action:
            case target_cases.Grant():
                return self.grant(action, self.now)
            case target_cases.Release():
                return self.release(action)
            case target_cases.LateGrant() | target_cases.LateRelease():
                self.late_orders.append((action[0], self.now))
                return target_cases.NO_ANSWER
            case target_cases.CarryOut():
                self.carry_out()
            case target_cases.Request(key):
                return self.run_request(key)
            case target_cases.BeginRequest(key):
                self.requests.append(self.state.begin_request(key, self.now))
                return target_cases.RUN
            case target_cases.EndRequest():
                in_time = self.state.end_request(self.requests.pop(), self.now)
                return target_cases.IN_TIME if in_time else target_cases.TOO_LATE
            case target_cases.Restart(name, life):
                self.start(name, life)
        return None

    def carry_out(self):
        orders, self.late_orders = self.late_orders, []
        for order, arrived_at in orders:
            if isinstance(order, target_cases.Grant):
                self.grant(order, arrived_at)
            else:
                self.release(order)

    def run_request(self, key):
        request = self.state.begin_request(key, self.now)
        if request is None:
            return target_cases.NOT_OWNED
        assert self.state.end_request(request, self.now)
        return target_cases.RUN

    def list_owned(self):
        owned = [(item.first, item.last) for item in self.state.list_owned(self.now)]
        return target_cases.join_ranges(owned)


# Guards against simulated processes that differ from the platform's.
@pytest.mark.parametrize("case", target_cases.CASES, ids=lambda case: case.name)
def test_process_answers_as_expected(case):
    runner = Runner(case.clock_slowness)
    for step in case.steps:
        runner.now = step.at * SECOND
        assert (step, runner.act(step.action)) == (step, step.answer)
        if step.owned is not None:
            assert (step, runner.list_owned()) == (step, step.owned)


def test_handovers_of_accepted_grants_are_kept():
    runner = Runner(0)
    runner.act(target_cases.Grant(0, 9, 5, handover="x"))
    runner.act(target_cases.Grant(0, 9, 4, handover="y"))
    assert runner.state.handovers == ["x"]
