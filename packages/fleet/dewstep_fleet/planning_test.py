"""Load patterns that the planner answers, each named by its test."""

from dewstep_fleet import builders, model, planning

TARGETS = "abcde"


def build_even(total):
    """Return the same rate for one key in 64."""
    keys = range(0, model.KEYS, 64)
    return {key: total / len(keys) for key in keys}


def apply(holdings, moves):
    for move in moves:
        kept = []
        for item in holdings:
            if item.last < move.first or item.first > move.last:
                kept.append(item)
                continue
            assert item.target == move.source
            if item.first < move.first:
                kept.append(item._replace(last=move.first - 1))
            if item.last > move.last:
                kept.append(item._replace(first=move.last + 1))
        kept.append(model.Holding(move.first, move.last, move.target, 1, 9))
        holdings = tuple(sorted(kept))
    return holdings


def plan_until_quiet(holdings, rates, capacities, most=8):
    moved = 0
    for _ in range(20):
        moves = planning.plan(holdings, rates, capacities, most, 1.5)
        if not moves:
            return holdings, moved
        moved += sum(move.last - move.first + 1 for move in moves)
        holdings = apply(holdings, moves)
    raise AssertionError("the plan does not settle")


def test_even_load_moves_nothing():
    # Guards against keys that change hands all the time because of noise.
    holdings = builders.build_holdings(*TARGETS)
    capacities = builders.build_capacities(*TARGETS)
    assert not planning.plan(holdings, build_even(60), capacities, 8, 1.5)


def test_light_load_moves_nothing():
    holdings = builders.build_holdings(*TARGETS)
    capacities = builders.build_capacities(*TARGETS)
    assert not planning.plan(holdings, {5: 8.0}, capacities, 8, 1.5)


def test_hot_keys_side_by_side_are_shared_by_all():
    # Guards against the morning rush, when 200 neighbouring keys draw 40% of look-ups.
    holdings = builders.build_holdings(*TARGETS)
    capacities = builders.build_capacities(*TARGETS)
    rates = build_even(36)
    for key in range(20_000, 20_200):
        rates[key] = rates.get(key, 0) + 24 / 200
    holdings, moved = plan_until_quiet(holdings, rates, capacities)
    totals = planning.measure(holdings, rates)
    assert max(totals.values()) <= 0.2 * 20 + sum(rates.values()) / 5
    assert moved < model.KEYS / 8


def test_run_of_hot_keys_is_spread_over_a_large_service_at_once():
    """Guards against a rush that is halved by one round of moves after the other.

    200 neighbouring keys draw twelve times of what their owner can serve.
    """
    targets = [f"t{number}" for number in range(100)]
    holdings = builders.build_holdings(*targets)
    capacities = builders.build_capacities(*targets, rate=17.0)
    rates = build_even(400)
    for key in range(20_000, 20_200):
        rates[key] = rates.get(key, 0) + 1.0
    moves = planning.plan(holdings, rates, capacities, 25, 1.5)
    totals = planning.measure(apply(holdings, moves), rates)
    assert max(totals.values()) <= 17.0
    assert sum(move.last - move.first + 1 for move in moves) <= 300


def test_single_hot_key_keeps_its_owner_for_itself():
    # Guards against a hot key that takes its neighbours down with it.
    holdings = builders.build_holdings(*TARGETS)
    capacities = builders.build_capacities(*TARGETS)
    rates = build_even(40)
    rates[30_000] = 30.0
    holdings, _ = plan_until_quiet(holdings, rates, capacities)
    owner = next(item for item in holdings if item.first <= 30_000 <= item.last).target
    totals = planning.measure(holdings, rates)
    assert totals[owner] <= 30.0 + 0.2 * 20 + 1
    assert all(total < 20 for name, total in totals.items() if name != owner)


def test_key_that_fills_its_owner_goes_to_the_fastest_target():
    # Guards against the hottest key on a slow target, which turns most of it away.
    holdings = builders.build_holdings("slow", "other", "fast")
    capacities = {
        "slow": planning.Capacity("slow", 12.0),
        "other": planning.Capacity("other", 20.0),
        "fast": planning.Capacity("fast", 30.0),
    }
    rates = build_even(12)
    rates[100] = 60.0
    moves = planning.plan(holdings, rates, capacities, 8, 1.5)
    assert planning.Move(100, 100, "slow", "fast") in moves
    holdings = apply(holdings, moves)
    assert not any(
        move.first == 100 for move in planning.plan(holdings, rates, capacities, 8, 1.5)
    )


def test_key_that_fills_its_owner_stays_for_a_while():
    """Guards against a key that is without an owner for half of the time.

    Its owner slows down under it, so that some other target always looks faster.
    """
    holdings = builders.build_holdings("slow", "other", "fast")
    capacities = builders.build_capacities("slow", "other")
    capacities["fast"] = planning.Capacity("fast", 30.0)
    rates = {100: 60.0}
    moves = planning.plan(holdings, rates, capacities, 8, 1.5, frozenset({100}))
    assert not any(move.first <= 100 <= move.last for move in moves)


def test_noise_of_few_requests_moves_nothing():
    # Guards against keys that change hands because a second had a few more requests.
    holdings = builders.build_holdings("a", "b")
    capacities = builders.build_capacities("a", "b", rate=5.0)
    rates = {100: 1.3, 20_000: 1.4, 40_000: 1.1}
    assert not planning.plan(holdings, rates, capacities, 8, 1.5)


def test_slow_target_gets_fewer_keys():
    # Guards against speeds that differ by more than two within a service.
    holdings = builders.build_holdings("a", "b")
    capacities = {
        "a": planning.Capacity("a", 10.0),
        "b": planning.Capacity("b", 25.0),
    }
    holdings, _ = plan_until_quiet(holdings, build_even(24), capacities)
    totals = planning.measure(holdings, build_even(24))
    assert totals["a"] < totals["b"]


def test_newcomer_gets_keys_at_any_load():
    # Guards against targets that join and are never used.
    holdings = builders.build_holdings("a", "b")
    capacities = builders.build_capacities("a", "b", "new")
    moves = planning.plan(holdings, build_even(4), capacities, 8, 1.5)
    assert [move.target for move in moves] == ["new"]


def test_ranges_of_a_lost_target_are_spread_over_the_others():
    # Guards against a loss that overloads one neighbour, who is lost next.
    holdings = builders.build_holdings(*TARGETS)
    rates = build_even(60)
    capacities = builders.build_capacities(*TARGETS[1:])
    totals = planning.measure(holdings, rates)
    moves = planning.spread(holdings[:1], rates, capacities, totals)
    assert {move.target for move in moves} == set("bcde")
    assert moves[0].first == 0 and moves[-1].last == holdings[0].last
    for move, following in zip(moves, moves[1:], strict=False):
        assert move.last + 1 == following.first


def test_range_without_load_is_given_away_whole():
    holdings = builders.build_holdings(*TARGETS)
    moves = planning.spread(holdings[:1], {}, builders.build_capacities("b"), {})
    assert [(move.first, move.last) for move in moves] == [(0, holdings[0].last)]


def test_no_targets_left():
    holdings = builders.build_holdings("a")
    assert planning.spread(holdings, {}, {}, {}) == []
    assert planning.plan(holdings, {}, {}, 8, 1.5) == []


def test_key_that_draws_more_than_its_owner_can_serve_is_admitted_in_part():
    """Guards against many instances that all send for the one slot that is free."""
    holdings = builders.build_holdings("a", "b")
    rates = {100: 200.0, 60_000: 18.0}
    capacities = builders.build_capacities("a", "b")
    admitted = planning.admit(planning.measure(holdings, rates), capacities)
    assert admitted == {"a": 20.0 * planning.ADMITTED / 200.0}
