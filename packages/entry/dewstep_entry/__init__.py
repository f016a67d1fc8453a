"""The entry process: from a caller's connection to the target that owns the key."""
