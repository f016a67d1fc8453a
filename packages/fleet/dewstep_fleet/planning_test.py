"""Tests of the planned moves for different load patterns."""

from dewstep_fleet import builders, model, planning

TARGETS = "abcde"


def build_even(total):
    """Return rates that spread `total` evenly over every 64th key."""
    keys = range(0, model.KEY_SPACE_SIZE, 64)
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


def plan_until_stable(holdings, rates, capacities, max_moves=8):
    moved = 0
    for _ in range(20):
        moves = planning.plan_moves(holdings, rates, capacities, max_moves, 1.5)
        if not moves:
            return holdings, moved
        moved += sum(move.last - move.first + 1 for move in moves)
        holdings = apply(holdings, moves)
    raise AssertionError("planning did not converge in 20 rounds")


def test_even_load_moves_nothing():
    # Guards against constant moves because of random variation.
    holdings = builders.build_holdings(*TARGETS)
    capacities = builders.build_capacities(*TARGETS)
    assert not planning.plan_moves(holdings, build_even(60), capacities, 8, 1.5)


def test_light_load_moves_nothing():
    holdings = builders.build_holdings(*TARGETS)
    capacities = builders.build_capacities(*TARGETS)
    assert not planning.plan_moves(holdings, {5: 8.0}, capacities, 8, 1.5)


def test_adjacent_hot_keys_are_spread_over_all_targets():
    # Guards against overload when 200 adjacent keys receive 40% of the requests.
    holdings = builders.build_holdings(*TARGETS)
    capacities = builders.build_capacities(*TARGETS)
    rates = build_even(36)
    for key in range(20_000, 20_200):
        rates[key] = rates.get(key, 0) + 24 / 200
    holdings, moved = plan_until_stable(holdings, rates, capacities)
    totals = planning.sum_rates(holdings, rates)
    assert max(totals.values()) <= 0.2 * 20 + sum(rates.values()) / 5
    assert moved < model.KEY_SPACE_SIZE / 8


def test_adjacent_hot_keys_are_spread_in_one_plan_of_a_large_service():
    """Guards against spreading hot keys over many rounds of moves, halving each time.

    200 adjacent keys have twelve times the request rate that their owner can serve.
    """
    targets = [f"t{number}" for number in range(100)]
    holdings = builders.build_holdings(*targets)
    capacities = builders.build_capacities(*targets, rate=17.0)
    rates = build_even(400)
    for key in range(20_000, 20_200):
        rates[key] = rates.get(key, 0) + 1.0
    moves = planning.plan_moves(holdings, rates, capacities, 25, 1.5)
    totals = planning.sum_rates(apply(holdings, moves), rates)
    assert max(totals.values()) <= 17.0
    assert sum(move.last - move.first + 1 for move in moves) <= 300


def test_other_keys_move_away_from_the_owner_of_a_hot_key():
    # Guards against a hot key that makes the other keys of its owner unavailable.
    holdings = builders.build_holdings(*TARGETS)
    capacities = builders.build_capacities(*TARGETS)
    rates = build_even(40)
    rates[30_000] = 30.0
    holdings, _ = plan_until_stable(holdings, rates, capacities)
    owner = next(item for item in holdings if item.first <= 30_000 <= item.last).target
    totals = planning.sum_rates(holdings, rates)
    assert totals[owner] <= 30.0 + 0.2 * 20 + 1
    assert all(total < 20 for name, total in totals.items() if name != owner)


def test_key_that_saturates_its_owner_moves_to_the_fastest_target():
    # Guards against refusals because the hottest key is owned by a slow target.
    holdings = builders.build_holdings("slow", "other", "fast")
    capacities = {
        "slow": planning.Capacity("slow", 12.0),
        "other": planning.Capacity("other", 20.0),
        "fast": planning.Capacity("fast", 30.0),
    }
    rates = build_even(12)
    rates[100] = 60.0
    moves = planning.plan_moves(holdings, rates, capacities, 8, 1.5)
    assert planning.Move(100, 100, "slow", "fast") in moves
    holdings = apply(holdings, moves)
    assert not any(
        move.first == 100
        for move in planning.plan_moves(holdings, rates, capacities, 8, 1.5)
    )


def test_key_that_saturates_its_owner_is_not_moved_again_soon():
    """Guards against moving a key so often that it has no owner half of the time.

    The key's load slows its owner down, so that another target always seems faster.
    """
    holdings = builders.build_holdings("slow", "other", "fast")
    capacities = builders.build_capacities("slow", "other")
    capacities["fast"] = planning.Capacity("fast", 30.0)
    rates = {100: 60.0}
    moves = planning.plan_moves(holdings, rates, capacities, 8, 1.5, frozenset({100}))
    assert not any(move.first <= 100 <= move.last for move in moves)


def test_random_variation_of_few_requests_moves_nothing():
    # Guards against moves because of a few more requests in one second.
    holdings = builders.build_holdings("a", "b")
    capacities = builders.build_capacities("a", "b", rate=5.0)
    rates = {100: 1.3, 20_000: 1.4, 40_000: 1.1}
    assert not planning.plan_moves(holdings, rates, capacities, 8, 1.5)


def test_slow_target_gets_fewer_keys():
    # Guards against overload of targets that are less than half as fast as others.
    holdings = builders.build_holdings("a", "b")
    capacities = {
        "a": planning.Capacity("a", 10.0),
        "b": planning.Capacity("b", 25.0),
    }
    holdings, _ = plan_until_stable(holdings, build_even(24), capacities)
    totals = planning.sum_rates(holdings, build_even(24))
    assert totals["a"] < totals["b"]


def test_new_target_gets_keys_at_any_load():
    # Guards against new targets that are never used.
    holdings = builders.build_holdings("a", "b")
    capacities = builders.build_capacities("a", "b", "new")
    moves = planning.plan_moves(holdings, build_even(4), capacities, 8, 1.5)
    assert [move.target for move in moves] == ["new"]


def test_ranges_of_a_lost_target_are_spread_over_the_others():
    # Guards against a failure that overloads a single other target in turn.
    holdings = builders.build_holdings(*TARGETS)
    rates = build_even(60)
    capacities = builders.build_capacities(*TARGETS[1:])
    totals = planning.sum_rates(holdings, rates)
    moves = planning.distribute_ranges(holdings[:1], rates, capacities, totals)
    assert {move.target for move in moves} == set("bcde")
    assert moves[0].first == 0 and moves[-1].last == holdings[0].last
    for move, following in zip(moves, moves[1:], strict=False):
        assert move.last + 1 == following.first


def test_range_without_load_is_not_split():
    holdings = builders.build_holdings(*TARGETS)
    moves = planning.distribute_ranges(
        holdings[:1], {}, builders.build_capacities("b"), {}
    )
    assert [(move.first, move.last) for move in moves] == [(0, holdings[0].last)]


def test_no_moves_without_targets():
    holdings = builders.build_holdings("a")
    assert planning.distribute_ranges(holdings, {}, {}, {}) == []
    assert planning.plan_moves(holdings, {}, {}, 8, 1.5) == []


def test_only_a_fraction_of_excess_requests_is_admitted():
    """Guards against many instances that send requests for the same free slot."""
    holdings = builders.build_holdings("a", "b")
    rates = {100: 200.0, 60_000: 18.0}
    capacities = builders.build_capacities("a", "b")
    admitted = planning.compute_admitted(
        planning.sum_rates(holdings, rates), capacities
    )
    assert admitted == {"a": 20.0 * planning.ADMISSION_FACTOR / 200.0}
