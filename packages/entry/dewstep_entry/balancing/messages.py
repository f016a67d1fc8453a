"""Reports of load and orders to move, as values between entry processes."""

import datetime
import json
from typing import Any

from returns import result

from dewstep_core import errors, ledger
from dewstep_entry.balancing import planner, workload
from dewstep_entry.peers import messages
from dewstep_entry.policy import outliers

LOADS = "loads"
MOVES = "moves"
DIGITS = 5
"""Digits of a load after the decimal point: 10 µs of slot time per second."""


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
    """Return the summary in the result of `encode_summary`."""
    if value is None:
        return None
    answers, failures, seconds, step, cold = value
    service_time = datetime.timedelta(seconds=seconds)
    return outliers.Summary(answers, failures, service_time, step, cold)


def encode_reports(service: str, reports: list[planner.Report]) -> messages.Value:
    """Return the reports on all targets of a service whose gates are here."""
    payload = [
        [
            report.target,
            {shard: round(load, DIGITS) for shard, load in report.load.shards.items()},
            {key: round(load, DIGITS) for key, load in report.load.keys.items()},
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
    """Return the order to carry out those of `moves` whose gates are at the receiver.

    The summaries of all targets go along, so that each process can judge its own.
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
