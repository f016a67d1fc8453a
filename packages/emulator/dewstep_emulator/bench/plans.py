"""Scenarios of the benchmark: deployments of today's size and their load.

The targets' service times are set so that every service is at full capacity at the
same rate of requests. One machine could not produce the rates of the real targets;
what is measured is dewstep's part, and the ratio of load to capacity is the same.
"""

import datetime
from collections.abc import Awaitable, Callable, Mapping
from typing import Any, NamedTuple

from dewstep_core import registry
from dewstep_emulator import deployments
from dewstep_emulator.bench import generator

CAPACITY = 600.0
"""Requests/s at which all slots of all targets are busy."""
KEYS = 2_000
SKEW = 0.5
HOT_EXPONENT = 0.9
"""As in `dewstep_emulator.rush`."""

Script = Callable[[Any], Awaitable[None]]


class Scenario(NamedTuple):
    """A script of faults and the load while it runs."""

    name: str
    script: Script
    factor: float
    """Load over capacity at the beginning."""
    peak: float
    """Highest load over capacity."""
    hot_share: float
    resend: bool
    options: Mapping[str, Any]
    """More `FleetOptions`."""


scenarios: registry.Registry[Scenario] = registry.Registry("benchmark")


def scenario(
    name: str,
    factor: float = 0.5,
    peak: float = 1.0,
    hot_share: float = 0.0,
    resend: bool = True,
    **options: Any,
) -> Callable[[Script], Script]:
    """Register the decorated script."""

    def enter(script: Script) -> Script:
        scenarios.register(name)(
            Scenario(name, script, factor, peak, hot_share, resend, options)
        )
        return script

    return enter


def fit_capacity(
    deployment: deployments.Deployment, capacity: float
) -> deployments.Deployment:
    """Return a deployment whose services are all full at `capacity` requests/s."""
    shares: dict[str, float] = {}
    for call in deployments.plan_calls(deployment):
        shares[call.service] = shares.get(call.service, 0.0) + call.share
    services = []
    for plan in deployment.services:
        rate = capacity * shares[plan.service.name]
        seconds = plan.targets * deployment.slots / rate
        service_time = min(datetime.timedelta(seconds=seconds), LONGEST_SERVICE)
        services.append(plan._replace(service_time=service_time))
    return deployment._replace(services=tuple(services))


LONGEST_SERVICE = datetime.timedelta(milliseconds=400)
"""A kind's deadline must remain several times longer than its service time."""


def build_plan(
    deployment: deployments.Deployment, scenario: Scenario, seed: int, rate: float
) -> generator.Plan:
    """Return what the load tool sends; `rate` is the capacity."""
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
        KEYS,
        SKEW,
        scenario.hot_share,
        HOT_EXPONENT,
        scenario.resend,
    )
