"""Changes of deployments, for scenarios that need special records."""

import datetime
from collections.abc import Callable

from dewstep_core import data
from dewstep_emulator import deployments

UNFENCED_HORIZON = datetime.timedelta(seconds=12)
"""Longer than the interval of 10 s at which a gate reads its row."""
ServiceChange = Callable[[data.Service], data.Service]


def change_services(
    deployment: deployments.Deployment, change: ServiceChange
) -> deployments.Deployment:
    """Return the deployment with each service changed."""
    plans = (
        plan._replace(service=change(plan.service)) for plan in deployment.services
    )
    return deployment._replace(services=tuple(plans))


def use_memory(deployment: deployments.Deployment) -> deployments.Deployment:
    """Deduplicate at-most-once kinds by memory and time-ordered ids."""

    def change(service: data.Service) -> data.Service:
        kinds = tuple(
            kind if kind.idempotent else kind._replace(deduplication="memory")
            for kind in service.kinds
        )
        return service._replace(kinds=kinds)

    return change_services(deployment, change)


def use_all_sorts(deployment: deployments.Deployment) -> deployments.Deployment:
    """Use both deduplication methods, and a short horizon where bookings go.

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


def shorten_horizon(
    horizon: datetime.timedelta,
) -> Callable[[deployments.Deployment], deployments.Deployment]:
    """Return the change that gives all services this horizon."""

    def change(deployment: deployments.Deployment) -> deployments.Deployment:
        return change_services(
            deployment, lambda service: service._replace(outage_horizon=horizon)
        )

    return change
