"""The rule by which an assignment names the owner of a key."""

from dewstep_core import data, hashing


def find_owner(assignment: data.Assignment, key: str) -> tuple[str, int]:
    """Return the target that owns `key`, and the shard of the key.

    An override goes before the owner of the shard.
    """
    shard = hashing.compute_shard(key, len(assignment.owners))
    return assignment.overrides.get(key, assignment.owners[shard]), shard
