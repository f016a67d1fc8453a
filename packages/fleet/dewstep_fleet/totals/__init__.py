"""The compact form of heartbeats and reports, for fleets of 30 members or more.

A coordinator numbers the targets that have requests. Each link carries the hash of a
target's name once; after that, the place in the column of totals identifies the target.
A member numbers the targets of its reports in the same way, by name. `link_states`
keeps what a link has carried, so that a new link begins with complete messages.
`columns` and `report_targets` write and read what depends on it, `blocks` encodes the
values, and `envelopes` puts them before the rest of the frame.

The values of a heartbeat depend on no earlier values, only on the numbers. A checksum
of all numbered targets shows a receiver that lacks some: it ignores the totals and asks
for all hashes with its next report.
"""

MIN_MEMBERS = 30
"""Live instances from which on the compact form is used."""
