"""The gates of targets: fencing, admission, deduplication and succession."""
