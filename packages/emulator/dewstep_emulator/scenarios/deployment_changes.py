"""Changes to the deployment for scenarios that need special records."""

import datetime
from collections.abc import Callable

from dewstep_core import data
from dewstep_emulator import deployments

UNFENCED_HORIZON = datetime.timedelta(seconds=12)
"""Longer than the 10 s interval at which a gate reads its row."""
ServiceChange = Callable[[data.Service], data.Service]


def change_services(
    deployment: deployments.Deployment, change: ServiceChange
) -> deployments.Deployment:
    """Return the deployment with each service changed."""
    service_plans = (
        plan._replace(service=change(plan.service)) for plan in deployment.services
    )
    return deployment._replace(services=tuple(service_plans))


def deduplicate_in_memory(deployment: deployments.Deployment) -> deployments.Deployment:
    """Deduplicate at-most-once kinds in memory with time-ordered ids."""

    def change(service: data.Service) -> data.Service:
        kinds = tuple(
            kind if kind.idempotent else kind._replace(deduplication="memory")
            for kind in service.kinds
        )
        return service._replace(kinds=kinds)

    return change_services(deployment, change)


def mix_deduplication(deployment: deployments.Deployment) -> deployments.Deployment:
    """Use both deduplication methods, and a short outage horizon for `booker`.

    The gate of an unfenced target is replaced only after the horizon.
    """

    def change(service: data.Service) -> data.Service:
        if service.name != "booker":
            return service
        kinds = tuple(
            kind._replace(deduplication="memory") if kind.name == "reminder" else kind
            for kind in service.kinds
        )
        return service._replace(kinds=kinds, outage_horizon=UNFENCED_HORIZON)

    return change_services(deployment, change)


def set_outage_horizon(
    horizon: datetime.timedelta,
) -> Callable[[deployments.Deployment], deployments.Deployment]:
    """Return the change that sets the outage horizon of all services."""

    def change(deployment: deployments.Deployment) -> deployments.Deployment:
        return change_services(
            deployment, lambda service: service._replace(outage_horizon=horizon)
        )

    return change
