"""Encodes load reports and move orders as messages between entry processes."""

import datetime
import json
from typing import Any

from returns import result

from dewstep_core import errors, ledger
from dewstep_entry.balancing import planner, workload
from dewstep_entry.peers import messages
from dewstep_entry.policy import outliers

# Values of `what` in the messages.
LOADS = "loads"
MOVES = "moves"

LOAD_DECIMALS = 5
"""Decimal places of an encoded load, a resolution of 10 µs of slot time per second."""


def encode_summary(summary: outliers.Summary | None) -> list[Any] | None:
    """Return a summary of a target's answers as a JSON value."""
    if summary is None:
        return None
    return [
        summary.answers,
        summary.failures,
        summary.service_time.total_seconds(),
        summary.step,
        summary.cold,
    ]


def decode_summary(value: list[Any] | None) -> outliers.Summary | None:
    """Return the summary encoded by `encode_summary`."""
    if value is None:
        return None
    answers, failures, seconds, step, cold = value
    service_time = datetime.timedelta(seconds=seconds)
    return outliers.Summary(answers, failures, service_time, step, cold)


def encode_reports(service: str, reports: list[planner.Report]) -> messages.Value:
    """Return a message with the reports on targets of a service."""
    payload = [
        [
            report.target,
            {
                shard: round(load, LOAD_DECIMALS)
                for shard, load in report.load.shards.items()
            },
            {key: round(load, LOAD_DECIMALS) for key, load in report.load.keys.items()},
            report.factor,
            encode_summary(report.summary),
        ]
        for report in reports
    ]
    return messages.Value(LOADS, service, 0, json.dumps(payload).encode())


def decode_reports(
    value: messages.Value,
) -> result.Result[list[planner.Report], errors.RowInvalid]:
    """Return the reports in a message."""
    try:
        return result.Success(
            [
                planner.Report(
                    target,
                    workload.TargetLoad(
                        {int(shard): float(load) for shard, load in shards.items()},
                        {str(key): float(load) for key, load in keys.items()},
                    ),
                    float(factor),
                    decode_summary(summary),
                )
                for target, shards, keys, factor, summary in json.loads(value.payload)
            ]
        )
    except (ValueError, TypeError, AttributeError) as error:
        return result.Failure(errors.RowInvalid(LOADS, repr(error)))


def encode_moves(
    service: str,
    version: int,
    moves: tuple[ledger.Move, ...],
    summaries: dict[str, outliers.Summary],
) -> messages.Value:
    """Return the order to execute those of `moves` whose gates are at the receiver.

    The summaries of all targets are included, so that each process can compare its own
    targets with the others.
    """
    payload = {
        "moves": [list(move) for move in moves],
        "summaries": {name: encode_summary(item) for name, item in summaries.items()},
    }
    return messages.Value(MOVES, service, version, json.dumps(payload).encode())


def decode_moves(
    value: messages.Value,
) -> result.Result[
    tuple[tuple[ledger.Move, ...], dict[str, outliers.Summary]], errors.RowInvalid
]:
    """Return the moves and summaries in an order."""
    try:
        payload = json.loads(value.payload)
        moves = tuple(ledger.Move(*fields) for fields in payload["moves"])
        summaries = {
            name: decode_summary(item) for name, item in payload["summaries"].items()
        }
        return result.Success((moves, summaries))
    except (ValueError, TypeError, KeyError, AttributeError) as error:
        return result.Failure(errors.RowInvalid(MOVES, repr(error)))
