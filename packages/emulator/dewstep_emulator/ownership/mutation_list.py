"""The mutations: for each mechanism of ownership, the edits that disable it.

If two mechanisms provide the same guarantee, a mutation disables both, because the
remaining one would hide the loss of the other.
"""

from dewstep_core import registry
from dewstep_emulator import mutation_types

mutations: registry.Registry[mutation_types.Mutation] = registry.Registry(
    "ownership mutation"
)

FLEET = "fleet/dewstep_fleet/"
OWNERSHIP = "emulator/dewstep_emulator/ownership/"


def register_mutation(
    name: str, schedule: str, expected: str, *edits: mutation_types.Edit, seed: int
) -> None:
    """Register a mutation with the schedule of faults at which it breaks a rule."""
    mutations.register(name)(
        mutation_types.Mutation(name, edits, schedule, seed, expected)
    )


register_mutation(
    "orders-for-another-target-accepted",
    "target-restarted-under-another-name",
    "TwoOwners",
    mutation_types.Edit(
        OWNERSHIP + "targets.py",
        "if grant.target != running.process.name:",
        "if False:",
    ),
    mutation_types.Edit(
        OWNERSHIP + "target_processes.py",
        "if grant.target != self.process.name:",
        "if False:",
    ),
    seed=3,
)
register_mutation(
    "no-fence-before-release",
    "targets-leave-while-orders-are-late",
    "TwoOwners",
    mutation_types.Edit(
        FLEET + "moves.py",
        "        if end.late_until <= self.clock.monotonic():\n"
        "            return end, holding\n",
        "        return ownership_ends.record_accepted_fence(\n"
        "            end, orders.outstanding, self.clock.monotonic()\n"
        "        ), holding\n",
    ),
    seed=5,
)
register_mutation(
    "inherited-grants-not-waited-for",
    "coordinator-killed-with-targets-cut-off-from-others",
    "TwoOwners",
    mutation_types.Edit(
        FLEET + "adoption.py",
        "        if inherited:\n            self.record_inherited_grants(ownership)\n",
        "",
    ),
    seed=1,
)
register_mutation(
    "long-grants-forgotten",
    "coordinator-killed-after-an-outage-with-targets-cut-off",
    "TwoOwners",
    mutation_types.Edit(
        FLEET + "adoption.py",
        "return max("
        "grant_durations.GRANT_DURATION, self.get_inherited_grant_time_left()"
        ")",
        "return grant_durations.GRANT_DURATION",
    ),
    seed=0,
)
register_mutation(
    "term-not-checked-before-orders",
    "coordinator-and-its-targets-cut-off-from-others",
    "TwoOwners",
    mutation_types.Edit(
        FLEET + "terms.py",
        "return self.is_term_confirmed() or self.can_lead_without_store()",
        "return True",
    ),
    seed=1,
)
register_mutation(
    "unanswered-grant-not-waited-for",
    "targets-leave-while-orders-are-late",
    "TwoOwners",
    mutation_types.Edit(
        FLEET + "outstanding.py",
        "return grants._replace(unanswered_until=max(grants.unanswered_until, expiry))",
        "return grants",
    ),
    seed=5,
)
register_mutation(
    "unanswered-fence-taken-for-accepted",
    "targets-leave-while-orders-are-late",
    "TwoOwners",
    mutation_types.Edit(
        FLEET + "moves.py",
        "        if isinstance(outcome, result.Failure):\n"
        "            return ownership_ends.record_unanswered_fence(\n"
        "                end, orders.outstanding\n"
        "            ), holding\n"
        "        if outcome.unwrap() is target_orders.SKIPPED:\n",
        "        if outcome == result.Success(target_orders.SKIPPED):\n",
    ),
    seed=5,
)
register_mutation(
    "clock-drift-ignored",
    "targets-lost-after-their-last-long-grant",
    "TwoOwners",
    mutation_types.Edit(
        FLEET + "outstanding.py",
        "CLOCK_DRIFT_FACTOR = 1.02",
        "CLOCK_DRIFT_FACTOR = 1.0",
    ),
    seed=0,
)
register_mutation(
    "not-renumbered-at-a-new-term",
    "targets-leave-after-a-change-of-the-coordinator",
    "TwoOwners",
    mutation_types.Edit(
        FLEET + "adoption.py",
        "return ranges.renumber(current)",
        "return current",
    ),
    seed=0,
)
# Either check hides the loss of the other one.
register_mutation(
    "older-registration-used",
    "targets-exchange-hosts-before-a-restore",
    "TwoOwners",
    mutation_types.Edit(
        FLEET + "renewal.py",
        "if registered.life < newest:",
        "if False:",
    ),
    mutation_types.Edit(
        FLEET + "registrations.py",
        "if target.life < known and not confirmed:",
        "if False:",
    ),
    seed=1,
)
register_mutation(
    "reports-of-half-not-awaited",
    "minority-reaches-the-store",
    "TwoOwners",
    mutation_types.Edit(
        FLEET + "adoption.py",
        "self.adopted = self.is_adopted()",
        "self.adopted = True",
    ),
    seed=6,
)
register_mutation(
    "term-confirmed-by-reads",
    "outdated-reads-with-coordinator-cut-off-from-peers",
    "TwoOwners",
    mutation_types.Edit(
        FLEET + "terms.py",
        "        if self.term_confirmed_at is None:\n"
        "            return False\n"
        "        age = self.clock.monotonic() - self.term_confirmed_at\n"
        "        return age <= outstanding.TERM_CONFIRMATION_MAX_AGE\n",
        "        return self.table_feeds.has_recent_answer(\n"
        "            outstanding.TERM_CONFIRMATION_MAX_AGE\n"
        "        )\n",
    ),
    mutation_types.Edit(
        FLEET + "granting.py",
        "        self.term.confirm_regularly(now)\n",
        "",
    ),
    seed=3,
)
register_mutation(
    "earlier-grants-waited-for-twice",
    "restored-and-restarted",
    "NotRecovered",
    mutation_types.Edit(
        FLEET + "adoption.py",
        "if limit is not None and limit.era_floor == era_floor:",
        "if False:",
    ),
    seed=5,
)
register_mutation(
    "earlier-grants-not-waited-for-in-the-first-term",
    "restored-to-before-the-start-without-a-target",
    "TwoOwners",
    mutation_types.Edit(
        FLEET + "adoption.py",
        "        await self.clock.sleep(max(wait, NO_TIME))\n",
        "        if self.term.leadership.term > 1:\n"
        "            await self.clock.sleep(max(wait, NO_TIME))\n",
    ),
    seed=1,
)
