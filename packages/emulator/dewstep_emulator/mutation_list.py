"""The mutations: for each mechanism, the edits that disable it.

If two mechanisms provide the same guarantee, a mutation disables both, because the
remaining one would hide the loss of the other. Importing this module registers all
mutations.
"""

from dewstep_emulator import mutation_list_losses, mutation_types

__all__ = ["mutation_list_losses", "mutations"]

mutations = mutation_types.mutations

mutation_types.register_mutation(
    "grant-counted-from-receipt",
    "target-paused-table-slow",
    "TwoOwners",
    mutation_types.Edit(
        mutation_types.EMULATOR + "target.py",
        "refusal = self.fence.accept(*grant, self.read_clock())",
        "now = self.read_clock()\n"
        "        refusal = self.fence.accept(grant.boot, grant.term, now + 0.6, now)",
    ),
)
mutation_types.register_mutation(
    "no-fence-by-term",
    "gate-paused-with-requests",
    "TermWentBack",
    mutation_types.Edit(
        mutation_types.EMULATOR + "fencing.py",
        "if term != self.term or term == 0:",
        "if term == 0:",
    ),
)
mutation_types.register_mutation(
    "no-wait-for-expiry",
    "target-out-of-reach",
    "TwoOwners",
    mutation_types.Edit(
        mutation_types.GATE + "gates.py",
        "if not self.lost or self.clock.monotonic() < self.get_expired_at():",
        "if not self.lost:",
    ),
    mutation_types.Edit(
        mutation_types.GATE + "moves.py",
        "left = gate.get_expired_at() - self.clock.monotonic()",
        "left = datetime.timedelta()",
    ),
)
mutation_types.register_mutation(
    "same-term-after-evacuation",
    "upload-across-pause",
    "TwoOwners",
    mutation_types.Edit(
        mutation_types.GATE + "moves.py",
        "if gate.fenced and gate.ownership.list_owned() != owned:",
        "if False:",
    ),
)
mutation_types.register_mutation(
    "no-drain-before-move",
    "shards-moved",
    "TwoOwners",
    mutation_types.Edit(
        mutation_types.GATE + "moves.py",
        "        drained, _ = await timing.wait_at_most(\n"
        "            self.clock, gate.drain_shards(*moving), DRAIN_TIMEOUT\n"
        "        )\n",
        "        drained = True\n",
    ),
)
mutation_types.register_mutation(
    "no-claim-rows",
    "gate-killed-before-answer-table",
    "Duplicated",
    mutation_types.Edit(
        mutation_types.GATE + "deduplication.py",
        "        first = await self.write(key, 0, request)\n",
        "        return result.Success(NO_CLAIM)\n"
        "        first = await self.write(key, 0, request)\n",
    ),
)
mutation_types.register_mutation(
    "claim-after-sending",
    "gate-killed-before-answer-table",
    "Duplicated",
    mutation_types.Edit(
        mutation_types.GATE + "sending.py",
        "        claimed = await method.claim(run.request)\n"
        "        if isinstance(claimed, result.Failure):\n"
        "            return claimed\n"
        "        self.budget.add_first_attempt()\n"
        "        outcome = await self.attempt_repeatedly(run, idempotent)\n",
        "        self.budget.add_first_attempt()\n"
        "        outcome = await self.attempt_repeatedly(run, idempotent)\n"
        "        claimed = await method.claim(run.request)\n"
        "        if isinstance(claimed, result.Failure):\n"
        "            return claimed\n",
    ),
)
mutation_types.register_mutation(
    "no-floor-of-time-ordered-ids",
    "gate-killed-before-answer-memory",
    "Duplicated",
    mutation_types.Edit(
        mutation_types.GATE + "deduplication.py",
        "        self.floor = max(self.floor, self.compute_change_floor())\n",
        "        self.floor = self.floor\n",
    ),
)
mutation_types.register_mutation(
    "no-read-back",
    "operators-race-answers-lost",
    "RefusedApplied",
    mutation_types.Edit(
        "core/dewstep_core/platform/table.py",
        "            if failure is None or (lost is None and not is_lost(failure)):\n",
        "            if failure is None or not is_lost(failure):\n",
    ),
    mutation_types.Edit(
        "core/dewstep_core/platform/table.py",
        "            verdict, settled = "
        "await self.determine_outcome(transaction, lost)\n",
        "            verdict, settled = Verdict.PENDING, None\n",
    ),
    mutation_types.Edit(
        "operator/dewstep_operator/configuration.py",
        "    if transaction.operation_id in origin.operations:\n",
        "    if False:\n",
    ),
)
mutation_types.register_mutation(
    "older-revisions-accepted",
    "revisions-in-quick-succession",
    "RevisionWentBack",
    mutation_types.Edit(
        mutation_types.STATE + "view.py",
        "configuration.revision <= held.revision:",
        "configuration.revision == held.revision:",
    ),
)
mutation_types.register_mutation(
    "overdue-connection-reused",
    "answers-overdue",
    "Misdelivered",
    mutation_types.Edit(
        mutation_types.TARGETS + "connection.py",
        "        if self.usable:\n            self.usable = False\n",
        "        if event is outcome.Event.OVERDUE and self.usable:\n"
        "            self.http = h11.Connection(h11.CLIENT)\n"
        "            self.freed(self)\n"
        "            return\n"
        "        if self.usable:\n            self.usable = False\n",
    ),
    mutation_types.Edit(
        mutation_types.TARGETS + "connection.py",
        "if answered_id is not None and answered_id != exchange.request_id:",
        "if False:",
    ),
)
mutation_types.register_mutation(
    "lost-connection-taken-for-unsent",
    "late-and-wrong-answers",
    "Duplicated",
    mutation_types.Edit(
        mutation_types.TARGETS + "outcome.py",
        "    if not progress.sent:\n",
        "    if True:\n",
    ),
)
mutation_types.register_mutation(
    "no-quarantine",
    "crashing-request",
    "CrashesExceeded",
    mutation_types.Edit(
        mutation_types.GATE + "quarantine.py",
        "refused = held.state == QUARANTINED or (alone and crashes >= CRASH_LIMIT)",
        "refused = False",
    ),
)
mutation_types.register_mutation(
    "quarantine-not-read",
    "crashing-request",
    "CrashesExceeded",
    mutation_types.Edit(
        mutation_types.GATE + "crashes.py",
        "        self.suspects.receive_rows(records, written)\n",
        "",
    ),
)
mutation_types.register_mutation(
    "no-hand-over",
    "entries-replaced",
    "UnknownOutcome",
    mutation_types.Edit(
        "entry/dewstep_entry/process.py",
        "remaining = await self.gates.stop()",
        "remaining = ()",
    ),
)
mutation_types.register_mutation(
    "no-wait-for-horizon",
    "unfenced-gate-killed",
    "EarlySuccessor",
    mutation_types.Edit(
        mutation_types.GATE + "succession.py",
        "until = compute_horizon_end(committed, previous.horizon, settings)",
        "until = committed",
    ),
)
mutation_types.register_mutation(
    "instance-list-ignored",
    "target-leaving-by-list",
    "WorkAfterDeparture",
    mutation_types.Edit(
        mutation_types.GATE + "evacuation.py",
        "return name in self.leaving_targets or bool(target and target.draining)",
        "return bool(target and target.draining)",
    ),
)
mutation_types.register_mutation(
    "drain-ignored",
    "target-drained",
    "WorkAfterDeparture",
    mutation_types.Edit(
        mutation_types.GATE + "evacuation.py",
        "return name in self.leaving_targets or bool(target and target.draining)",
        "return name in self.leaving_targets",
    ),
)
mutation_types.register_mutation(
    "restart-not-confirmed",
    "target-restarted-old-gate-cut-off",
    "TwoOwners",
    mutation_types.Edit(
        mutation_types.GATE + "grants.py",
        "            and self.reading.boot == self.confirmed_boot\n",
        "",
    ),
)
mutation_types.register_mutation(
    "assignment-written-unchecked",
    "shards-moved-answers-lost",
    "MoveLost",
    mutation_types.Edit(
        mutation_types.GATE + "assignments.py",
        "            data.Check(key, assignment.version),\n",
        "",
    ),
)
mutation_types.register_mutation(
    "lost-answer-taken-for-refusal",
    "shards-moved-answers-lost",
    "TwoOwners",
    mutation_types.Edit(
        "core/dewstep_core/platform/table.py",
        "            if failure is None or (lost is None and not is_lost(failure)):\n",
        "            if True:\n",
    ),
    mutation_types.Edit(
        mutation_types.GATE + "assignments.py",
        "if not isinstance(failure, errors.AnswerLost | errors.Conflict):",
        "if not isinstance(failure, errors.Conflict):",
    ),
)
mutation_types.register_mutation(
    "nothing-fetched-from-peers",
    "table-down-new-entry",
    "ServedLate",
    mutation_types.Edit(
        mutation_types.STATE + "exchange.py",
        "        self.fetch_newer(sender, heartbeat)\n",
        "",
    ),
)
mutation_types.register_mutation(
    "first-schema-refused-in-rows",
    "schema-versions-mixed",
    "InForceLate",
    mutation_types.Edit(
        "core/dewstep_core/records.py",
        '    records = reader.table.get("records")\n',
        '    records = reader.table.get("records")\n'
        '    if any(item["schema"] == 1 for item in records["service"]):\n'
        "        return result.Failure(())\n",
    ),
)
mutation_types.register_mutation(
    "second-signal-ignored",
    "second-signal",
    "WrongExit",
    mutation_types.Edit(
        "entry/dewstep_entry/main.py",
        "await asyncio.wait((stopping, second), return_when",
        "await asyncio.wait((stopping,), return_when",
    ),
)
mutation_types.register_mutation(
    "resets-taken-for-crashes",
    "connections-reset",
    "WrongRefusal",
    mutation_types.Edit(
        mutation_types.GATE + "sending.py",
        "ended = await self.has_ended(run.boot)",
        "ended = True",
    ),
)
mutation_types.register_mutation(
    "row-reads-not-bound-to-horizon",
    "short-horizon",
    "Unserved",
    mutation_types.Edit(
        mutation_types.GATE + "authority.py",
        "interval = min(ROW_READ_INTERVAL, self.horizon / READS_PER_HORIZON)",
        "interval = ROW_READ_INTERVAL",
    ),
)
mutation_types.register_mutation(
    "bodies-not-limited",
    "bad-callers",
    "WrongStatus",
    mutation_types.Edit(
        "entry/dewstep_entry/caller/connection.py",
        "if length is not None and length > (limit := find_limit()):",
        "if False:",
    ),
    mutation_types.Edit(
        "entry/dewstep_entry/caller/connection.py",
        "            if size > (limit := find_limit()):\n",
        "            if False:\n",
    ),
    mutation_types.Edit(
        "entry/dewstep_entry/caller/request_body.py",
        "if self.received > (limit := self.find_limit()):",
        "if False:",
    ),
)
mutation_types.register_mutation(
    "configuration-written-unchecked",
    "operators-race",
    "RevisionShared",
    mutation_types.Edit(
        "operator/dewstep_operator/configuration.py",
        "(data.Check(records.ROW_KEY, current.version), *checks),",
        "(*checks,),",
    ),
)
