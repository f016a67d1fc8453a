"""Prints reports and compares two of them."""

from collections.abc import Iterator, Mapping
from typing import Any, NamedTuple

from rich import console, table


class Bound(NamedTuple):
    """How much worse a measure of the second run may be than that of the first."""

    path: str
    """Names of members, joined by dots."""
    ratio: float
    slack: float
    """Absolute difference below which nothing is reported, in the measure's unit."""
    more_is_worse: bool = True


# Ratios leave room for the noise of a shared machine: repeated runs of one version
# differ by up to a third in latencies, and by a tenth in processor time.
BOUNDS = (
    Bound("answered.answered", 0.99, 0.0, False),
    Bound("answered.answered_weighted", 0.99, 0.0, False),
    Bound("latency_ms.p50", 1.3, 2.0),
    Bound("latency_ms.p99", 1.5, 5.0),
    Bound("unavailable.longest_s", 1.5, 0.3),
    Bound("retries.runs_per_request", 1.1, 0.0),
    Bound("entry_tier.processor_us_per_request", 1.2, 20.0),
    Bound("entry_tier.largest_memory_mb", 1.2, 5.0),
    Bound("processor_ratio", 1.2, 0.0),
    Bound("added_ratio_p99", 1.5, 0.0),
)


class Worse(NamedTuple):
    """A measure that is beyond its bound."""

    path: str
    before: float
    after: float


def flatten(report: Mapping[str, Any], prefix: str = "") -> Iterator[tuple[str, Any]]:
    """Yield all single values of a report with their dotted names."""
    for name, value in report.items():
        if isinstance(value, Mapping):
            yield from flatten(value, f"{prefix}{name}.")
        elif not isinstance(value, list | tuple):
            yield f"{prefix}{name}", value


def format_value(value: Any) -> str:
    """Return a value for the table."""
    if isinstance(value, float):
        return f"{value:.3f}" if abs(value) < 100 else f"{value:.0f}"
    return str(value)


def print_report(report: Mapping[str, Any]) -> None:
    """Print all single values, phases and a warning about the load tool."""
    output = console.Console(width=100, highlight=False)
    grid = table.Table("measure", "value", title=report["name"])
    for name, value in flatten(report):
        grid.add_row(name, format_value(value))
    output.print(grid)
    phases = report.get("phases", ())
    if phases:
        grid = table.Table("from", "s", "offered/s", "answered/s", "p50 ms", "p99 ms")
        for phase in phases:
            latency = phase["latency_ms"]
            grid.add_row(
                phase["from"],
                f"{phase['seconds']:.1f}",
                f"{phase['offered_per_s']:.0f}",
                f"{phase['answered_per_s']:.0f}",
                f"{latency.get('p50', 0):.1f}",
                f"{latency.get('p99', 0):.1f}",
            )
        output.print(grid)
    if not report.get("load_tool", {}).get("kept_up", True):
        output.print("The load tool could not keep up: latencies include its delay.")


def compare(before: Mapping[str, Any], after: Mapping[str, Any]) -> list[Worse]:
    """Return the measures of `after` that are beyond their bounds."""
    first, second = dict(flatten(before)), dict(flatten(after))
    worse = []
    for bound in BOUNDS:
        old, new = first.get(bound.path), second.get(bound.path)
        if old is None or new is None:
            continue
        if bound.more_is_worse:
            beyond = new > old * bound.ratio and new - old > bound.slack
        else:
            beyond = new < old * bound.ratio and old - new > bound.slack
        if beyond:
            worse.append(Worse(bound.path, old, new))
    return worse
