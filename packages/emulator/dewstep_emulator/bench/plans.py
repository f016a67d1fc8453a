"""Benchmark scenarios: full-size deployments and their load.

The service times of targets are scaled so that all services reach full capacity at the
same request rate. One machine cannot produce the request rates of real targets; the
ratio of load to capacity is the same, and only the cost of dewstep is measured.
"""

import datetime
from collections.abc import Awaitable, Callable, Mapping
from typing import Any, NamedTuple

from dewstep_core import registry
from dewstep_emulator import deployments
from dewstep_emulator.bench import generator

CAPACITY_PER_SECOND = 600.0
"""Requests/s at which all slots of all targets are busy."""
KEYS_PER_SERVICE = 2_000
KEY_SKEW = 0.5
HOT_EXPONENT = 0.9
"""Exponent of the popularity of hot keys, as in `dewstep_emulator.hot_key_model`."""

Script = Callable[[Any], Awaitable[None]]


class Scenario(NamedTuple):
    """A fault script and the load that runs with it."""

    name: str
    script: Script
    factor: float
    """Initial load as a fraction of the capacity."""
    peak_factor: float
    """Highest load as a fraction of the capacity."""
    hot_share: float
    resend: bool
    options: Mapping[str, Any]
    """Further fields of `FleetOptions`."""


scenarios: registry.Registry[Scenario] = registry.Registry("benchmark")


def scenario(
    name: str,
    factor: float = 0.5,
    peak_factor: float = 1.0,
    hot_share: float = 0.0,
    resend: bool = True,
    **options: Any,
) -> Callable[[Script], Script]:
    """Register the decorated script."""

    def decorate(script: Script) -> Script:
        scenarios.register(name)(
            Scenario(name, script, factor, peak_factor, hot_share, resend, options)
        )
        return script

    return decorate


def scale_service_times(
    deployment: deployments.Deployment, capacity: float
) -> deployments.Deployment:
    """Return the deployment with all services saturated at `capacity` requests/s."""
    shares: dict[str, float] = {}
    for call in deployments.plan_calls(deployment):
        shares[call.service] = shares.get(call.service, 0.0) + call.share
    services = []
    for plan in deployment.services:
        rate = capacity * shares[plan.service.name]
        seconds = plan.targets * deployment.slots / rate
        service_time = min(datetime.timedelta(seconds=seconds), MAX_SERVICE_TIME)
        services.append(plan._replace(service_time=service_time))
    return deployment._replace(services=tuple(services))


MAX_SERVICE_TIME = datetime.timedelta(milliseconds=400)
"""Keeps service times several times shorter than the deadlines of requests."""


def build_load_plan(
    deployment: deployments.Deployment, scenario: Scenario, seed: int, rate: float
) -> generator.Plan:
    """Return the plan of the load tool; `rate` is the capacity in requests/s."""
    calls = deployments.plan_calls(deployment)
    kinds = tuple(
        generator.CallKind(
            call.service,
            call.kind.name,
            call.kind.method,
            call.kind.path,
            call.share,
            call.body_bytes,
        )
        for call in calls
    )
    return generator.Plan(
        seed,
        rate,
        kinds,
        KEYS_PER_SERVICE,
        KEY_SKEW,
        scenario.hot_share,
        HOT_EXPONENT,
        scenario.resend,
    )
