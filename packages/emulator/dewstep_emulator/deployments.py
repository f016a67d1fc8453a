"""The two deployments in docs/design.md, with numbers of targets at any scale.

A deployment names data centres, services and numbers of targets. Together with the
addresses of running targets it determines a configuration.
"""

import datetime
from collections.abc import Mapping
from typing import NamedTuple

from dewstep_core import data, registry, settings

OUTAGE_HORIZON = datetime.timedelta(hours=4)
MAXIMUM_KEY_BYTES = 128
SHARD_COUNT = 256
SMALL_BODY_BYTES = 64 * 1024
LARGE_BODY_BYTES = 64 * 1024 * 1024


class ServicePlan(NamedTuple):
    """A service, its number of targets and their mean service time."""

    service: data.Service
    targets: int
    service_time: datetime.timedelta
    """Mean time that a target needs for a request."""


class Deployment(NamedTuple):
    """The data centres, services and sizes of one user's installation."""

    name: str
    data_centres: tuple[str, ...]
    services: tuple[ServicePlan, ...]
    slots: int
    connections: int
    entries: int


class CallPlan(NamedTuple):
    """One kind of request in a load."""

    service: str
    kind: data.RequestKind
    share: float
    """Share of all requests."""
    body_bytes: int


deployments: registry.Registry = registry.Registry("deployment")


def build_kind(
    name: str,
    method: str,
    path: str,
    idempotent: bool,
    weight: float = 1.0,
    seconds: float = 2.0,
    body: int = SMALL_BODY_BYTES,
    deduplication: str = "",
) -> data.RequestKind:
    """Return a request kind; by default deduplicated by table if not idempotent."""
    return data.RequestKind(
        name,
        method,
        path,
        idempotent,
        weight,
        datetime.timedelta(seconds=seconds),
        body,
        deduplication or ("none" if idempotent else "table"),
    )


def build_service(name: str, *kinds: data.RequestKind) -> data.Service:
    """Return a service whose key is a path parameter."""
    part = data.KeyPart("path", "key")
    return data.Service(
        name, 2, part, MAXIMUM_KEY_BYTES, SHARD_COUNT, OUTAGE_HORIZON, kinds
    )


def plan_service(
    targets: int, milliseconds: float, name: str, *kinds: data.RequestKind
) -> ServicePlan:
    """Return the plan of a service."""
    return ServicePlan(
        build_service(name, *kinds),
        targets,
        datetime.timedelta(milliseconds=milliseconds),
    )


def scale_count(count: int, scale: float) -> int:
    """Return a scaled number of targets, at least two."""
    return max(2, round(count * scale))


@deployments.register("tsagaan")
def plan_tsagaan(scale: float = 1.0) -> Deployment:
    """Return the deployment of Tsagaan Service Desk; scale 1 is its current size."""
    history = plan_service(
        scale_count(20, scale),
        4,
        "history",
        build_kind("vehicle", "GET", "/history/{key}/vehicle", True),
        build_kind("due", "GET", "/history/{key}/due", True),
    )
    booker = plan_service(
        scale_count(6, scale),
        8,
        "booker",
        build_kind("booking", "POST", "/booker/{key}/booking", False, 10.0, 4.0),
        build_kind("reminder", "POST", "/booker/{key}/reminder", False, 5.0, 4.0),
    )
    intake = plan_service(
        scale_count(6, scale),
        10,
        "intake",
        build_kind(
            "bundle", "PUT", "/intake/{key}/bundle", True, 8.0, 10.0, LARGE_BODY_BYTES
        ),
    )
    return Deployment(
        "tsagaan",
        ("ulaanbaatar-1", "ulaanbaatar-2", "ulaanbaatar-3"),
        (history, booker, intake),
        4,
        110,
        9,
    )


@deployments.register("division")
def plan_division(scale: float = 1.0) -> Deployment:
    """Return the deployment of the Division; scale 1 is its current size."""
    status = plan_service(
        scale_count(20, scale),
        4,
        "status",
        build_kind("consultation", "GET", "/status/{key}", True),
    )
    registration = plan_service(
        scale_count(10, scale),
        8,
        "registration",
        build_kind("registration", "POST", "/registration/{key}", False, 20.0, 4.0),
    )
    documents = plan_service(
        scale_count(8, scale),
        10,
        "documents",
        build_kind(
            "dossier", "PUT", "/documents/{key}", True, 15.0, 10.0, LARGE_BODY_BYTES
        ),
    )
    return Deployment(
        "division",
        ("bajio-1", "bajio-2", "bajio-3", "bajio-4"),
        (status, registration, documents),
        3,
        50,
        10,
    )


def name_targets(deployment: Deployment) -> dict[str, tuple[str, str]]:
    """Return the service and the data centre of each target, by its name."""
    names = {}
    for plan in deployment.services:
        for number in range(plan.targets):
            data_centre = deployment.data_centres[number % len(deployment.data_centres)]
            names[f"{plan.service.name}-{number}"] = (plan.service.name, data_centre)
    return names


def build_configuration(
    deployment: Deployment,
    addresses: Mapping[str, settings.Address],
    revision: int = 1,
    unfenced: frozenset[str] = frozenset(),
) -> data.Configuration:
    """Return the configuration of a deployment with the targets at `addresses`."""
    targets = {}
    for name, (service, data_centre) in name_targets(deployment).items():
        targets[name] = data.Target(
            name,
            service,
            data_centre,
            addresses[name].host,
            addresses[name].port,
            deployment.slots,
            deployment.connections,
            name not in unfenced,
            False,
        )
    services = {plan.service.name: plan.service for plan in deployment.services}
    return data.Configuration(revision, services, targets)


def plan_calls(deployment: Deployment) -> tuple[CallPlan, ...]:
    """Return a load of 90 % idempotent and 10 % other small requests.

    Uploads with large bodies (PUT) are 2 % of all requests.
    """
    shares = {True: 0.9, False: 0.1}
    plans = []
    small = [kind for kind in list_kinds(deployment) if kind[1].method != "PUT"]
    large = [kind for kind in list_kinds(deployment) if kind[1].method == "PUT"]
    for service, kind in small:
        kinds_in_share = sum(other.idempotent == kind.idempotent for _, other in small)
        share = shares[kind.idempotent] / kinds_in_share
        body_bytes = 0 if kind.method == "GET" else 200
        plans.append(CallPlan(service, kind, 0.98 * share, body_bytes))
    for service, kind in large:
        plans.append(CallPlan(service, kind, 0.02 / len(large), 200_000))
    return tuple(plans)


def list_kinds(deployment: Deployment) -> list[tuple[str, data.RequestKind]]:
    """Return all kinds with the names of their services."""
    return [
        (plan.service.name, kind)
        for plan in deployment.services
        for kind in plan.service.kinds
    ]
