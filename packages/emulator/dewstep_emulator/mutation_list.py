"""The mutations: for each mechanism, the change that takes it out.

Where a promise rests on two mechanisms, a mutation takes out both; the other one
would otherwise hide the loss.
"""

from typing import NamedTuple

from dewstep_core import registry


class Edit(NamedTuple):
    """Replaces a text that is in its file exactly once."""

    file: str
    """Path from the folder of the packages."""
    old: str
    new: str


class Mutation(NamedTuple):
    """The loss of one mechanism, and what must come of it."""

    name: str
    edits: tuple[Edit, ...]
    scenario: str
    seed: int
    expected: str
    """Type of the violation."""


mutations: registry.Registry[Mutation] = registry.Registry("mutation")

GATE = "entry/dewstep_entry/gate/"
TARGETS = "entry/dewstep_entry/targets/"
STATE = "entry/dewstep_entry/state/"
EMULATOR = "emulator/dewstep_emulator/"


def add(name: str, scenario: str, expected: str, *edits: Edit, seed: int = 1) -> None:
    """Register a mutation."""
    mutations.register(name)(Mutation(name, edits, scenario, seed, expected))


add(
    "grant-counted-from-receipt",
    "target-paused-table-slow",
    "TwoOwners",
    Edit(
        EMULATOR + "target.py",
        "refusal = self.fence.accept(*grant, self.read_clock())",
        "now = self.read_clock()\n"
        "        refusal = self.fence.accept(grant.boot, grant.term, now + 0.6, now)",
    ),
)
add(
    "no-fence-by-term",
    "gate-paused-with-requests",
    "TermWentBack",
    Edit(
        EMULATOR + "fencing.py",
        "if term != self.term or term == 0:",
        "if term == 0:",
    ),
)
add(
    "no-wait-for-expiry",
    "target-out-of-reach",
    "TwoOwners",
    Edit(
        GATE + "gate.py",
        "if not self.lost or self.clock.monotonic() < self.get_expired_at():",
        "if not self.lost:",
    ),
    Edit(
        GATE + "moves.py",
        "left = gate.get_expired_at() - self.clock.monotonic()",
        "left = datetime.timedelta()",
    ),
)
add(
    "same-term-after-evacuation",
    "upload-across-pause",
    "TwoOwners",
    Edit(
        GATE + "moves.py",
        "if gate.fenced and gate.ownership.list_owned() != owned:",
        "if False:",
    ),
)
add(
    "no-drain-before-move",
    "shards-moved",
    "TwoOwners",
    Edit(
        GATE + "moves.py",
        "        drained, _ = await timing.wait_at_most(\n"
        "            self.clock, gate.drain_shards(*moving), DRAIN_LIMIT\n"
        "        )\n",
        "        drained = True\n",
    ),
)
add(
    "no-claim-rows",
    "gate-killed-before-answer-table",
    "Doubled",
    Edit(
        GATE + "deduplication.py",
        "        first = await self.write(key, 0, request)\n",
        "        return result.Success(NO_CLAIM)\n"
        "        first = await self.write(key, 0, request)\n",
    ),
)
add(
    "claim-after-sending",
    "gate-killed-before-answer-table",
    "Doubled",
    Edit(
        GATE + "sending.py",
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
add(
    "no-floor-of-time-ordered-ids",
    "gate-killed-before-answer-memory",
    "Doubled",
    Edit(
        GATE + "deduplication.py",
        "        self.floor = max(self.floor, self.compute_change_floor())\n",
        "        self.floor = self.floor\n",
    ),
)
add(
    "no-read-back",
    "operators-race-answers-lost",
    "RefusedApplied",
    Edit(
        "core/dewstep_core/platform/table.py",
        "            if failure is None or (lost is None and not is_lost(failure)):\n",
        "            if failure is None or not is_lost(failure):\n",
    ),
    Edit(
        "core/dewstep_core/platform/table.py",
        "            verdict, settled = await self.settle(transaction, lost)\n",
        "            verdict, settled = Verdict.PENDING, None\n",
    ),
    Edit(
        "operator/dewstep_operator/configuration.py",
        "    if transaction.operation_id in origin.operations:\n",
        "    if False:\n",
    ),
)
add(
    "older-revisions-accepted",
    "revisions-in-quick-succession",
    "RevisionWentBack",
    Edit(
        STATE + "view.py",
        "configuration.revision <= held.revision:",
        "configuration.revision == held.revision:",
    ),
)
add(
    "overdue-connection-reused",
    "answers-overdue",
    "Crossed",
    Edit(
        TARGETS + "connection.py",
        "        if self.usable:\n            self.usable = False\n",
        "        if event is outcome.Event.OVERDUE and self.usable:\n"
        "            self.http = h11.Connection(h11.CLIENT)\n"
        "            self.freed(self)\n"
        "            return\n"
        "        if self.usable:\n            self.usable = False\n",
    ),
    Edit(
        TARGETS + "connection.py",
        "if answered_id is not None and answered_id != exchange.request_id:",
        "if False:",
    ),
)
add(
    "lost-connection-taken-for-unsent",
    "late-and-wrong-answers",
    "Doubled",
    Edit(TARGETS + "outcome.py", "    if not progress.sent:\n", "    if True:\n"),
)
add(
    "no-quarantine",
    "crashing-request",
    "CrashesExceeded",
    Edit(
        GATE + "quarantine.py",
        "refused = held.state == QUARANTINED or (alone and crashes >= CRASH_LIMIT)",
        "refused = False",
    ),
)
add(
    "quarantine-not-read",
    "crashing-request",
    "CrashesExceeded",
    Edit(
        GATE + "crashes.py",
        "        self.suspects.receive_rows(records, written)\n",
        "",
    ),
)
add(
    "no-hand-over",
    "entries-replaced",
    "UnknownOutcome",
    Edit(
        "entry/dewstep_entry/process.py",
        "remaining = await self.gates.stop()",
        "remaining = ()",
    ),
)
add(
    "no-wait-for-horizon",
    "unfenced-gate-killed",
    "EarlySuccessor",
    Edit(
        GATE + "succession.py",
        "until = compute_horizon_end(committed, previous.horizon, settings)",
        "until = committed",
    ),
)
add(
    "instance-list-ignored",
    "target-leaving-by-list",
    "WorkAfterDeparture",
    Edit(
        GATE + "emptying.py",
        "return gate.target.draining or gate.target.name in self.leaving_targets",
        "return gate.target.draining",
    ),
)
add(
    "drain-ignored",
    "target-drained",
    "WorkAfterDeparture",
    Edit(
        GATE + "emptying.py",
        "return gate.target.draining or gate.target.name in self.leaving_targets",
        "return gate.target.name in self.leaving_targets",
    ),
)
add(
    "restart-not-confirmed",
    "target-restarted-old-gate-cut-off",
    "TwoOwners",
    Edit(
        GATE + "grants.py",
        "            and self.reading.boot == self.confirmed_boot\n",
        "",
    ),
)
