"""The gate of a target: fencing, admission, request ids, succession."""
