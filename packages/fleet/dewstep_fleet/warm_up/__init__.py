"""Which targets are cold, and how many requests each of them may get.

A target is cold for some time after it starts, and crashes if it gets many requests in
this time. A cold target has an implied limit, for which each request needs a permit of
the coordinator (`dewstep_fleet.request_limits`). `allowances` computes from the
platform's bound how fast permits are issued, and what instances may send whose
questions nobody answers. `states` decides from registrations, answers and failures
until when a target is cold, and `tracking` keeps the states of all targets.
"""
