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
