"""Decisions about queueing, refusals, retries and outliers, without I/O."""
