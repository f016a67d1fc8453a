"""Stable hashes: the same in every process, version and machine.

Python's `hash` is salted for each process, so placement uses xxhash instead.
"""

from collections.abc import Iterable

import xxhash


def compute_shard(key: str, shard_count: int) -> int:
    """Return the shard, from 0 to `shard_count` - 1, that holds `key`."""
    return xxhash.xxh3_64_intdigest(key.encode()) % shard_count


def rank_by_rendezvous(subject: str, candidates: Iterable[str]) -> tuple[str, ...]:
    """Return `candidates` in order of preference for `subject`, the best first.

    Each candidate is scored by itself (highest random weight), so that the loss of
    one candidate moves only the subjects that preferred it.
    """
    return tuple(
        sorted(
            candidates,
            key=lambda candidate: (
                xxhash.xxh3_64_intdigest(f"{subject}\0{candidate}".encode()),
                candidate,
            ),
            reverse=True,
        )
    )
