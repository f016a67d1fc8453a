"""Data, errors, clients and the wire format that all dewstep packages share."""
