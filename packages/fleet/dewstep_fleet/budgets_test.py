from dewstep_core import clocks
from dewstep_fleet import budgets, builders


def test_all_instances_together_stay_within_the_budget():
    # Guards against instances that together exceed the budget of the fleet.
    clock = clocks.ManualClock()
    timing = builders.build_timing(retry_slack=58.0)
    fleet = [budgets.Budget(clock, timing) for _ in range(9)]
    resend_times = []
    for _ in range(300):
        for budget in fleet:
            budget.add_request()
            resend_times += [clock.monotonic()] * budget.reserve_resend(9)
        clock.advance(builders.SECOND / 10)
    for time in resend_times:
        window = [
            item for item in resend_times if time <= item < time + timing.retry_window
        ]
        assert len(window) <= 0.2 * 9 * 100 + 58


def test_resend_is_allowed_without_earlier_requests():
    budget = budgets.Budget(clocks.ManualClock(), builders.build_timing())
    assert budget.reserve_resend(9)


def test_resends_are_allowed_again_after_the_window():
    clock = clocks.ManualClock()
    budget = budgets.Budget(clock, builders.build_timing(retry_slack=3.0))
    assert (
        budget.reserve_resend(1)
        and budget.reserve_resend(1)
        and not budget.reserve_resend(1)
    )
    assert budget.refused_resends == 1
    clock.advance(11 * builders.SECOND)
    assert budget.reserve_resend(1)


def test_each_service_has_its_own_budget():
    clock = clocks.ManualClock()
    all_budgets = budgets.Budgets(clock, builders.build_timing())
    assert all_budgets.get("a") is all_budgets.get("a")
    assert all_budgets.get("a") is not all_budgets.get("b")


# Guards against instances that restart together and use up the budget a second time.
def test_budget_holds_when_all_instances_restart():
    clock = clocks.ManualClock()
    timing = builders.build_timing(retry_slack=58.0)
    resends = 0
    for _ in range(2):
        fleet = [budgets.Budgets(clock, timing).get("a") for _ in range(9)]
        for _ in range(10):
            for budget in fleet:
                resends += budget.reserve_resend(9)
            clock.advance(builders.SECOND / 10)
    assert resends <= timing.retry_slack


# Guards against an instance that never uses its share after a restart.
def test_share_of_the_budget_is_used_after_the_first_window():
    clock = clocks.ManualClock()
    timing = builders.build_timing()
    budget = budgets.Budgets(clock, timing).get("a")
    assert not budget.reserve_resend(9)
    clock.advance(timing.retry_window)
    assert budget.reserve_resend(9)


# Guards against a restarted instance that resends nothing at all.
def test_requests_after_a_restart_allow_resends():
    clock = clocks.ManualClock()
    budget = budgets.Budgets(clock, builders.build_timing(retry_ratio=0.2)).get("a")
    for _ in range(10):
        budget.add_request()
    assert budget.reserve_resend(9)
