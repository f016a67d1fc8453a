"""Hashes that are the same in every process, program version and machine.

Python's `hash` is salted per process, so xxhash is used instead.
"""

from collections.abc import Iterable

import xxhash


def compute_shard(key: str, shard_count: int) -> int:
    """Return the shard of `key`, from 0 to `shard_count` - 1."""
    return xxhash.xxh3_64_intdigest(key.encode()) % shard_count


def rank_by_rendezvous(subject: str, candidates: Iterable[str]) -> tuple[str, ...]:
    """Return `candidates` ranked for `subject` by rendezvous hashing, the best first.

    Each candidate's score (highest random weight) is independent of the others, so the
    loss of a candidate changes the first choice only of subjects that ranked it first.
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
