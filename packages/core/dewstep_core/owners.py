"""Look-up of the owner of a key in an assignment."""

from dewstep_core import data, hashing


def find_owner(assignment: data.Assignment, key: str) -> tuple[str, int]:
    """Return the target that owns `key`, and the shard of the key.

    An override of the key takes precedence over the owner of its shard.
    """
    shard = hashing.compute_shard(key, len(assignment.owners))
    return assignment.overrides.get(key, assignment.owners[shard]), shard
