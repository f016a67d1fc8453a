import pytest

from dewstep_emulator import deployments
from dewstep_emulator.bench import generator, plans, scripts

CAPACITY_PER_SECOND = 600.0


def test_all_scenarios_are_registered():
    assert {name for name in plans.scenarios} >= {
        "steady",
        "rush",
        "overload",
        "target-lost",
        "target-slow",
        "entry-lost",
        "rolling",
        "table-outage",
        "centre-cut-off",
    }
    assert scripts.STEADY_SECONDS > 0


@pytest.mark.parametrize("plan", [deployments.plan_tsagaan, deployments.plan_division])
def test_scale_service_times_saturates_all_services_at_the_same_rate(plan):
    deployment = plans.scale_service_times(plan(), CAPACITY_PER_SECOND)
    shares = {}
    for call in deployments.plan_calls(deployment):
        shares[call.service] = shares.get(call.service, 0) + call.share
    for service in deployment.services:
        seconds = service.service_time.total_seconds()
        full = service.targets * deployment.slots / seconds
        needed = CAPACITY_PER_SECOND * shares[service.service.name]
        # The service time of a service with few requests is limited to 0.4 s.
        assert full == pytest.approx(needed, rel=0.01) or seconds == 0.4


def test_hot_keys_change_with_the_rotation():
    scenario = plans.scenarios.get("rush")
    plan = plans.build_load_plan(
        deployments.plan_tsagaan(), scenario, 1, CAPACITY_PER_SECOND
    )
    chooser = generator.KeyChooser(plan)
    random_source = generator.random.Random(1)
    for rotation in (0, 1):
        keys = [
            chooser.choose_key(random_source, "history", rotation) for _ in range(2000)
        ]
        hot = {key for key in keys if "-hot-" in key}
        assert hot <= {f"history-hot-{rotation}-{number}" for number in range(34)}
        assert 0.4 < sum("-hot-" in key for key in keys) / len(keys) < 0.6


def test_shares_of_keys_add_up_to_one():
    scenario = plans.scenarios.get("rush")
    plan = plans.build_load_plan(
        deployments.plan_tsagaan(), scenario, 1, CAPACITY_PER_SECOND
    )
    shares = generator.KeyChooser(plan).compute_key_shares("history", 1)
    assert sum(shares.values()) == pytest.approx(1)
    hot = [share for key, share in shares.items() if "-hot-1-" in key]
    assert len(hot) == 34 and sum(hot) == pytest.approx(0.5)
