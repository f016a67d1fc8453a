"""Prints reports and compares two of them."""

from collections.abc import Iterator, Mapping
from typing import Any, NamedTuple

from rich import console, table


class Bound(NamedTuple):
    """Limit of how much worse a measure of the second report may be."""

    path: str
    """Keys of the report, joined by dots."""
    ratio: float
    min_difference: float
    """Smaller absolute differences are not reported; in the unit of the measure."""
    more_is_worse: bool = True


# On a shared machine, repeated runs of one version differ by up to a third in latency
# and by a tenth in processor time.
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


class Regression(NamedTuple):
    """A measure that exceeds its bound."""

    path: str
    before: float
    after: float


def flatten_report(
    report: Mapping[str, Any], prefix: str = ""
) -> Iterator[tuple[str, Any]]:
    """Yield all scalar values of a report with their dotted keys."""
    for name, value in report.items():
        if isinstance(value, Mapping):
            yield from flatten_report(value, f"{prefix}{name}.")
        elif not isinstance(value, list | tuple):
            yield f"{prefix}{name}", value


def format_value(value: Any) -> str:
    """Format a value for the printed table."""
    if isinstance(value, float):
        return f"{value:.3f}" if abs(value) < 100 else f"{value:.0f}"
    return str(value)


def print_report(report: Mapping[str, Any]) -> None:
    """Print scalar values and phases; warn if the load tool was overloaded."""
    output = console.Console(width=100, highlight=False)
    rich_table = table.Table("measure", "value", title=report["name"])
    for name, value in flatten_report(report):
        rich_table.add_row(name, format_value(value))
    output.print(rich_table)
    phases = report.get("phases", ())
    if phases:
        rich_table = table.Table(
            "from", "s", "offered/s", "answered/s", "p50 ms", "p99 ms"
        )
        for phase in phases:
            latency = phase["latency_ms"]
            rich_table.add_row(
                phase["from"],
                f"{phase['seconds']:.1f}",
                f"{phase['offered_per_s']:.0f}",
                f"{phase['answered_per_s']:.0f}",
                f"{latency.get('p50', 0):.1f}",
                f"{latency.get('p99', 0):.1f}",
            )
        output.print(rich_table)
    if not report.get("load_tool", {}).get("kept_up", True):
        output.print(
            "The load tool could not keep its schedule: latencies include its delay."
        )


def compare_reports(
    before: Mapping[str, Any], after: Mapping[str, Any]
) -> list[Regression]:
    """Return the measures of `after` that exceed their bounds."""
    old_values, new_values = dict(flatten_report(before)), dict(flatten_report(after))
    regressions = []
    for bound in BOUNDS:
        old, new = old_values.get(bound.path), new_values.get(bound.path)
        if old is None or new is None:
            continue
        if bound.more_is_worse:
            exceeds_bound = new > old * bound.ratio and new - old > bound.min_difference
        else:
            exceeds_bound = new < old * bound.ratio and old - new > bound.min_difference
        if exceeds_bound:
            regressions.append(Regression(bound.path, old, new))
    return regressions
