from dewstep_core import clock as clocks
from dewstep_fleet import budgets, builders


def test_whole_fleet_stays_below_its_allowance_in_any_window():
    # Guards against instances that together send more than the fleet may.
    clock = clocks.ManualClock()
    timing = builders.build_timing(retry_slack=58.0)
    fleet = [budgets.Budget(clock, timing) for _ in range(9)]
    taken = []
    for _ in range(300):
        for budget in fleet:
            budget.add_request()
            taken += [clock.monotonic()] * budget.take(9)
        clock.advance(builders.SECOND / 10)
    for time in taken:
        window = [item for item in taken if time <= item < time + timing.retry_window]
        assert len(window) <= 0.2 * 9 * 100 + 58


def test_first_repeats_are_allowed_without_many_requests():
    budget = budgets.Budget(clocks.ManualClock(), builders.build_timing())
    assert budget.take(9)


def test_repeats_are_allowed_again_when_the_window_has_passed():
    clock = clocks.ManualClock()
    budget = budgets.Budget(clock, builders.build_timing(retry_slack=3.0))
    assert budget.take(1) and budget.take(1) and not budget.take(1)
    assert budget.refused == 1
    clock.advance(11 * builders.SECOND)
    assert budget.take(1)


def test_each_service_has_its_own_budget():
    clock = clocks.ManualClock()
    allowance = budgets.Budgets(clock, builders.build_timing())
    assert allowance.get("a") is allowance.get("a")
    assert allowance.get("a") is not allowance.get("b")
