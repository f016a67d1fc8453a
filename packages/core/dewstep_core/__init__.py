"""Data types, errors, platform clients and HTTP code shared by all dewstep packages."""
