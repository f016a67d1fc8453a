"""Grants the ranges of keys to their owners, and moves them between targets.

Only the coordinator does this. Three rules keep two targets from owning a key:

- A transaction that checks the coordinator's own row precedes the first grant of each
  generation number, so that a deposed coordinator can put nothing new in force.
- A range is granted elsewhere only after its last owner has released it with no
  unanswered grant outstanding, or after the last grant sent to it has certainly ended,
  or if the owner has started again and thereby lost what it held.
- A coordinator that takes over gives all ranges new generation numbers, so that targets
  refuse its predecessor. Where a target cannot be told, it waits until grants that the
  predecessor may still have sent have ended.
"""

import asyncio
import datetime
from collections.abc import Callable, Coroutine, Iterable, Mapping
from typing import Any, NamedTuple

from returns import result

from dewstep_core import clock as clocks, errors, events, tasks
from dewstep_fleet import (
    demands,
    directory as directories,
    feeds,
    model,
    planning,
    ranges,
)

HOLD = datetime.timedelta(milliseconds=2500)
"""Time for which ranges are granted. A lost target's keys are away for at most this;
a change of the coordinator, about 1.3 s, must fit into it."""
RENEWAL = datetime.timedelta(milliseconds=600)
"""A quarter of `HOLD`: two renewals may get lost."""
DRIFT = 1.02
"""A target's clock runs up to 2% slow."""
TRANSIT = datetime.timedelta(milliseconds=150)
"""Longest time that an order is on its way over a link that is not harmed."""
ORDER_TIMEOUT = datetime.timedelta(milliseconds=400)
"""Longest time that an order takes, the wait for a connection included: an exchange
takes 2 ms, and a lost packet is sent again after 200 ms."""
OUTAGE = datetime.timedelta(milliseconds=2500)
"""Without the store for this long, ranges are granted for the longest time that targets
accept: nothing can change hands then, and the coordinator itself may get lost."""
SUCCESSION = datetime.timedelta(seconds=3)
"""A coordinator gives no more orders when the store has not confirmed its term for this
long; its successor reckons with that."""
FAILURES = 2
"""Renewals in a row without an answer after which a target counts as lost."""
PERSISTENCE = datetime.timedelta(seconds=2)
"""Time for which renewals go on at a target that answers none. A full target resets
connections, but answers one of them now and then."""
QUEUE_PATIENCE = datetime.timedelta(milliseconds=300)
"""Longest time that a range's queued requests get before its release, which sends them
away from a target's queue."""
TICK = datetime.timedelta(milliseconds=50)
PLAN_INTERVAL = datetime.timedelta(milliseconds=250)
SETTLING = datetime.timedelta(milliseconds=1500)
"""Keys get their first owners once no target has registered for this long: targets
start within a second of each other, and later each change of hands costs."""
RETRY = datetime.timedelta(milliseconds=150)
"""Pause between failed calls to the store."""
AVOIDANCE = datetime.timedelta(seconds=3)
"""A target that let its grants lapse gets no keys for this long."""
MOST_MOVING = 8
"""Ranges of a small service that change hands at the same time."""
MOVING_PART = 0.25
"""The same in parts of a large service's targets: keys that draw a third of the load
of a service are then spread in one round."""
REST = datetime.timedelta(seconds=5)
"""Time for which a key that fills its owner stays there. A change of hands leaves it
without an owner for up to 0.9 s, and a target that is a quarter faster makes that up
in four."""
CONTACT = datetime.timedelta(milliseconds=2200)
"""Age of the last answer of the store up to which moves begin; a watch lasts 1 s."""


Build = Callable[[ranges.Ownership | None], ranges.Ownership]
"""Returns the owners after a change, from those before it."""


class DeposedError(Exception):
    """Another instance has become the coordinator."""


class Post(NamedTuple):
    """One life of one target."""

    target: str
    life: int


class PostState:
    """What the coordinator knows of the grants that a target may hold."""

    __slots__ = (
        "answered",
        "avoid_until",
        "busy",
        "expiry",
        "failing_since",
        "failures",
        "inherited",
        "lock",
        "next",
        "unanswered",
    )

    def __init__(self, expiry: datetime.timedelta):
        self.expiry = expiry
        """Until then the target may hold what was granted."""
        self.unanswered = expiry
        """Until then a grant of this term that got no answer may come into force."""
        self.inherited = expiry
        """Until then a grant of the last coordinator may come into force."""
        self.failures = 0
        self.failing_since = datetime.timedelta()
        """When the first of the failures in a row was."""
        self.answered = False
        """Whether it took all its ranges under this term's generation numbers."""
        self.next = datetime.timedelta()
        self.busy = False
        self.avoid_until = datetime.timedelta()
        self.lock = asyncio.Lock()


class Granter:
    """The coordinator's task that owns the key ranges.

    Parameters
    ----------
    directory : directories.Directory
    feed : feeds.Feeds
        Tells whether the store confirms the coordinator's term.
    store : model.Store
    channel : model.GrantChannel
    clock : clocks.Clock
    timing : model.Timing
    has_support : callable
        Whether most instances follow this coordinator and none of them reaches the
        store; orders then go on without it.
    read_demand : callable
        Returns the `Demand` of a service.
    read_queue : callable
        Returns how long a request would wait at a target.
    read_inherited : callable
        Returns for how long grants of the last coordinator may go on that were sent
        for longer than `HOLD`.
    announce : callable
        Called after ranges have begun or ended to move.
    """

    def __init__(
        self,
        directory: directories.Directory,
        feed: feeds.Feeds,
        store: model.Store,
        channel: model.GrantChannel,
        clock: clocks.Clock,
        timing: model.Timing,
        has_support: Callable[[], bool],
        read_demand: Callable[[str], demands.Demand],
        read_queue: Callable[[model.Target], datetime.timedelta],
        read_inherited: Callable[[], datetime.timedelta],
        announce: Callable[[], None],
    ):
        self.directory = directory
        self.feeds = feed
        self.store = store
        self.channel = channel
        self.clock = clock
        self.timing = timing
        self.has_support = has_support
        self.read_demand = read_demand
        self.read_queue = read_queue
        self.read_inherited = read_inherited
        self.announce = announce
        self.reset()

    def reset(self) -> None:
        """Forget everything that belongs to an earlier term."""
        self.leadership = self.directory.leadership
        self.posts: dict[Post, PostState] = {}
        self.known: dict[str, model.Target] = {}
        self.adopted: set[str] = set()
        self.moving: dict[str, list[tuple[int, int]]] = {}
        self.first_seen: dict[str, tuple[set[str], datetime.timedelta]] = {}
        """Targets of services without owners, and since when these are all."""
        self.tasks = tasks.TaskOwner(self.receive_failure)
        self.planned = self.clock.monotonic()
        self.resting: dict[tuple[str, int], datetime.timedelta] = {}
        """Until when a key of a service that was moved alone stays where it is."""
        self.admitted: dict[str, float] = {}
        """Part of the requests that overloaded targets can serve."""
        self.changes: dict[str, list[tuple[Build, asyncio.Future]]] = {}
        self.locks: dict[str, asyncio.Lock] = {}
        self.deposed = False

    # Life.

    async def run(self) -> None:
        """Grant and move ranges until deposed or cancelled."""
        self.reset()
        try:
            while not self.deposed:
                sequence = self.directory.sequence
                self.step()
                await self.directory.wait_change(sequence, TICK.total_seconds())
        finally:
            self.tasks.cancel()
            self.directory.moving = {}

    def receive_failure(self, error: BaseException, task: str) -> None:
        """End this term if a task found that it is over; log any other failure."""
        if isinstance(error, DeposedError):
            self.deposed = True
        else:
            events.exception("granting_failed", error, task=task)

    def step(self) -> None:
        """Begin whatever is due."""
        now = self.clock.monotonic()
        self.known.update(self.directory.targets)
        if self.directory.routes is None or not self.may_order():
            return
        for service in self.directory.routes.services.values():
            if service.keyed:
                self.step_service(service.name, now)
        if now - self.planned >= PLAN_INTERVAL:
            self.planned = now
            self.plan()

    def step_service(self, service: str, now: datetime.timedelta) -> None:
        """Begin what is due for one service."""
        if service not in self.adopted:
            if service not in self.moving:
                self.adopt(service, now)
            return
        ownership = self.directory.ownerships[service]
        owners = ranges.list_targets(ownership)
        for target, holdings in owners.items():
            self.step_target(service, target, holdings, now)

    def may_order(self) -> bool:
        """Whether no other coordinator can have changed the owners."""
        if self.directory.leadership.version != self.leadership.version:
            self.deposed = True
        if self.deposed:
            return False
        return self.feeds.in_contact(SUCCESSION) or self.has_support()

    def choose_duration(self) -> datetime.timedelta:
        """Return the time for which ranges are granted now."""
        if self.feeds.in_contact(OUTAGE) or not self.has_support():
            return min(HOLD, self.timing.longest_hold)
        return self.timing.longest_hold

    # Taking over.

    def adopt(self, service: str, now: datetime.timedelta) -> None:
        """Begin to own a service's ranges in this term."""
        if not self.feeds.is_current():
            return
        targets = self.list_usable(service, now)
        if service not in self.directory.ownerships:
            names = {target.name for target in targets}
            known, since = self.first_seen.get(service, (None, now))
            if names != known:
                self.first_seen[service] = (names, now)
                return
            if not targets or now - since < SETTLING:
                return
        self.moving[service] = []
        self.tasks.spawn(self.adopt_service(service))

    async def adopt_service(self, service: str) -> None:
        """Write the ranges of a service under new generation numbers."""
        inherited = False

        def build(current: ranges.Ownership | None) -> ranges.Ownership:
            nonlocal inherited
            inherited = current is not None and bool(current.holdings)
            if inherited:
                return ranges.renumber(current)
            usable = self.list_usable(service, self.clock.monotonic())
            generation = current.generation if current is not None else 0
            return ranges.divide(service, 0, generation, usable)

        try:
            done = await self.commit(service, build)
        finally:
            self.moving.pop(service, None)
        if not done:
            return
        ownership = self.directory.ownerships[service]
        if inherited:
            self.inherit(ownership)
        self.adopted.add(service)
        events.info(
            "ranges_adopted",
            service=service,
            ranges=len(ownership.holdings),
            generation=ownership.generation,
            inherited=inherited,
        )

    def inherit(self, ownership: ranges.Ownership) -> None:
        """Reckon with grants that the last coordinator may still have sent."""
        longest = max(HOLD, self.read_inherited())
        latest = self.clock.monotonic() + SUCCESSION + ORDER_TIMEOUT
        expiry = latest + self.bound(longest)
        for holding in ownership.holdings:
            state = self.get_post(Post(holding.target, holding.life))
            state.expiry = state.inherited = expiry

    def bound(self, duration: datetime.timedelta) -> datetime.timedelta:
        """Return for how long a grant sent now may hold at most."""
        return duration * DRIFT + TRANSIT

    def count_long_holds(self) -> datetime.timedelta:
        """Return for how long grants of more than the usual length may go on."""
        now = self.clock.monotonic()
        usual = now + ORDER_TIMEOUT + self.bound(HOLD)
        return max(
            (
                state.expiry - now
                for state in self.posts.values()
                if state.expiry > usual
            ),
            default=datetime.timedelta(),
        )

    def get_post(self, post: Post) -> PostState:
        """Return the state of a target's life."""
        state = self.posts.get(post)
        if state is None:
            state = self.posts[post] = PostState(self.clock.monotonic())
        return state

    # Renewal.

    def step_target(
        self,
        service: str,
        target: str,
        holdings: tuple[model.Holding, ...],
        now: datetime.timedelta,
    ) -> None:
        """Renew a target's ranges, or begin to move them if it is lost."""
        registered = self.directory.targets.get(target)
        lives = {holding.life for holding in holdings}
        if registered is not None and registered.service != service:
            registered = None
        if registered is not None and not registered.leaving:
            if lives != {registered.life}:
                self.spawn_once(
                    service, holdings, self.regrant(service, registered, holdings)
                )
                return
            state = self.get_post(Post(target, registered.life))
            lost = state.failures >= FAILURES
            if lost and now >= state.expiry:
                state.avoid_until = now + AVOIDANCE
                state.failures = 0
                events.warning("target_unresponsive", target=target, service=service)
                self.evacuate(service, holdings, release=False)
            elif now >= state.next and not state.busy:
                if lost and now - state.failing_since > PERSISTENCE:
                    # A grant that is taken without an answer would go on for ever.
                    return
                state.busy = True
                state.next = now + RENEWAL
                self.tasks.spawn(self.renew(service, registered, state))
            return
        self.evacuate(service, holdings, release=True)

    async def renew(self, service: str, target: model.Target, state: PostState) -> None:
        """Renew each range that a target owns."""
        try:
            before = self.clock.monotonic()
            for holding in self.list_held(service, target.name):
                outcome = await self.renew_holding(service, target, holding)
                if isinstance(outcome, result.Failure):
                    return
            if not state.answered:
                # It refuses the last coordinator's generation numbers from now on. What
                # it took before goes on to its end.
                state.answered = True
                state.inherited = before
        finally:
            state.busy = False

    def list_held(self, service: str, target: str) -> tuple[model.Holding, ...]:
        """Return the ranges of a target that are not changing hands."""
        ownership = self.directory.ownerships[service]
        held = tuple(item for item in ownership.holdings if item.target == target)
        for first, last in self.moving.get(service, ()):
            held = ranges.cut(held, first, last)
        return held

    async def renew_holding(
        self, service: str, target: model.Target, holding: model.Holding
    ) -> result.Result[None, Any]:
        """Renew one range and note whether the target answers."""
        state = self.get_post(Post(target.name, target.life))
        outcome = await self.send_order(target, holding, state, "", service)
        if isinstance(outcome, result.Success):
            if state.failures:
                events.info("target_answers_again", target=target.name)
            state.failures = 0
            return outcome
        failure = outcome.failure()
        if not state.failures:
            state.failing_since = self.clock.monotonic()
        state.failures += 1
        state.next = min(state.next, self.clock.monotonic() + RETRY)
        events.warning(
            "grant_failed",
            target=target.name,
            first=holding.first,
            last=holding.last,
            generation=holding.generation,
            failures=state.failures,
            failure=failure,
        )
        if isinstance(failure, model.Superseded):
            state.failures = 0
            self.tasks.spawn(self.confirm_term(service, holding))
        return outcome

    async def send_order(
        self,
        target: model.Target,
        holding: model.Holding,
        state: PostState,
        handover: str,
        renewal: str = "",
    ) -> result.Result[None, Any]:
        """Send a grant and note until when it may hold.

        Parameters
        ----------
        target, holding, state, handover
            What is granted to whom.
        renewal : str, optional
            Service of the range if the grant renews one: it is left out if the range
            began to change hands while the order waited for an earlier one.
        """
        async with state.lock:
            if renewal and not self.is_held(renewal, holding):
                return result.Success(None)
            if not self.may_order():
                return result.Failure(errors.TargetUnavailable(target.name, "no term"))
            duration = self.choose_duration()
            before = state.expiry
            latest = self.clock.monotonic() + ORDER_TIMEOUT
            state.expiry = max(before, latest + self.bound(duration))
            outcome = await self.channel.grant(target, holding, duration, handover)
            # It may have waited for a connection, and its time counts from its arrival.
            expiry = self.clock.monotonic() + self.bound(duration)
            failure = None
            if isinstance(outcome, result.Failure):
                failure = outcome.failure()
            if isinstance(failure, errors.TargetUnavailable):
                expiry = before
            elif failure is not None:
                state.unanswered = max(state.unanswered, expiry)
            state.expiry = max(before, expiry)
            return outcome

    def is_held(self, service: str, holding: model.Holding) -> bool:
        """Whether a range is still with the target that it names."""
        return holding in self.list_held(service, holding.target)

    async def confirm_term(self, service: str, holding: model.Holding) -> None:
        """Read the store after a refusal: give up, or choose a higher number."""
        await self.read_back()
        if self.is_held(service, holding):
            await self.transfer(service, [ranges.keep(holding)])

    # Changes of hands.

    def spawn_once(
        self, service: str, holdings: Iterable[model.Holding], work: Coroutine
    ) -> None:
        """Run a task on ranges unless one of them is changing hands already."""
        spans = [(item.first, item.last) for item in holdings]
        busy = self.moving.get(service, [])
        if any(
            first <= item[1] and item[0] <= last
            for first, last in spans
            for item in busy
        ):
            work.close()
            return
        self.tasks.spawn(self.run_marked(service, spans, work))
        self.mark(service, spans)

    def mark(self, service: str, spans: list[tuple[int, int]]) -> None:
        """Tell all instances that ranges are changing hands."""
        self.moving.setdefault(service, []).extend(spans)
        self._publish_moving()

    def _publish_moving(self) -> None:
        self.directory.moving = {
            service: tuple(spans) for service, spans in self.moving.items() if spans
        }
        self.directory.publish()
        self.announce()

    async def run_marked(
        self, service: str, spans: list[tuple[int, int]], work: Coroutine
    ) -> None:
        """Await a task and take the marks of its ranges off."""
        try:
            await work
        finally:
            for span in spans:
                self.moving[service].remove(span)
            self._publish_moving()

    async def regrant(
        self,
        service: str,
        target: model.Target,
        holdings: tuple[model.Holding, ...],
    ) -> None:
        """Give a target that started again the ranges of its last life."""
        changes = [
            ranges.Transfer(item.first, item.last, target.name, target.life)
            for item in holdings
        ]
        if not await self.transfer(service, changes):
            return
        events.info("target_restarted", target=target.name, life=target.life)
        await self.grant_new(service, target, changes, "")

    def evacuate(
        self, service: str, holdings: tuple[model.Holding, ...], release: bool
    ) -> None:
        """Begin to move all ranges of a target that is leaving or lost."""
        moving = self.moving.get(service, [])
        left = holdings
        for first, last in moving:
            left = ranges.cut(left, first, last)
        if not left or not self.can_move():
            return
        demand = self.read_demand(service)
        capacities = self.read_capacities(service, demand)
        if not capacities:
            return
        ownership = self.directory.ownerships[service]
        totals = planning.measure(ownership.holdings, demand.rates)
        for move in planning.spread(left, demand.rates, capacities, totals):
            self.begin_move(service, move, release)

    def can_move(self) -> bool:
        """Whether the store is there to record changes of hands."""
        return self.feeds.in_contact(CONTACT)

    def begin_move(self, service: str, move: planning.Move, release: bool) -> None:
        """Begin to move one range."""
        holding = self.directory.ownerships[service].find(move.first)
        if holding is None or holding.last < move.last:
            return
        holding = holding._replace(first=move.first, last=move.last)
        self.spawn_once(
            service, [holding], self.move(service, holding, move.target, release)
        )
        events.info(
            "move_begun",
            service=service,
            first=move.first,
            last=move.last,
            source=move.source,
            target=move.target,
            release=release,
        )

    async def move(
        self, service: str, holding: model.Holding, target: str, release: bool
    ) -> None:
        """Move one range: end it at its owner, record the new owner, grant it."""
        began = self.clock.monotonic()
        handover = await self.end_holding(service, holding, release)
        destination = self.directory.targets.get(target)
        if destination is None or destination.leaving:
            destination = self.choose_other(service)
        if destination is None:
            return
        change = ranges.Transfer(
            holding.first, holding.last, destination.name, destination.life
        )
        if not await self.transfer(service, [change]):
            return
        await self.grant_new(service, destination, [change], handover)
        events.info(
            "moved",
            service=service,
            first=holding.first,
            last=holding.last,
            source=holding.target,
            target=destination.name,
            handover=bool(handover),
            lasted=self.clock.monotonic() - began,
        )

    def choose_other(self, service: str) -> model.Target | None:
        """Return some target that can own keys."""
        usable = self.list_usable(service, self.clock.monotonic())
        return usable[0] if usable else None

    async def end_holding(
        self, service: str, holding: model.Holding, release: bool
    ) -> str:
        """Return once the owner certainly runs nothing more; with its hand-over."""
        if not holding.target:
            return ""
        owner = self.known.get(holding.target)
        state = self.get_post(Post(holding.target, holding.life))
        # A grant in progress covers the range; later ones leave it out.
        async with state.lock:
            expiry = state.expiry
            unanswered = max(state.unanswered, state.inherited)
        handover = ""
        if release and owner is not None and owner.life == holding.life:
            if unanswered > self.clock.monotonic():
                fenced = await self.fence(service, owner, holding, state)
                if fenced is None:
                    # The fence itself may come into force late.
                    unanswered = max(unanswered, state.unanswered)
                    expiry = max(expiry, state.expiry)
                else:
                    holding = fenced
                    unanswered = self.clock.monotonic()
                    expiry = state.expiry
            await self.clock.sleep(min(self.read_queue(owner), QUEUE_PATIENCE))
            outcome = await self.channel.release(owner, holding)
            if isinstance(outcome, result.Success):
                handover = outcome.unwrap()
                expiry = unanswered
            else:
                events.warning(
                    "release_failed",
                    target=holding.target,
                    first=holding.first,
                    last=holding.last,
                    failure=outcome.failure(),
                )
        left = expiry - self.clock.monotonic()
        if left > datetime.timedelta():
            await self.clock.sleep(left)
        return handover

    async def fence(
        self,
        service: str,
        owner: model.Target,
        holding: model.Holding,
        state: PostState,
    ) -> model.Holding | None:
        """Make the owner refuse earlier grants that may still come into force.

        Returns
        -------
        model.Holding or None
            The range under the generation number that the owner has now seen; None if
            it did not answer.
        """
        if not await self.transfer(service, [ranges.keep(holding)]):
            return None
        found = self.directory.ownerships[service].find(holding.first)
        holding = found._replace(first=holding.first, last=holding.last)
        outcome = await self.send_order(owner, holding, state, "")
        return holding if isinstance(outcome, result.Success) else None

    async def grant_new(
        self,
        service: str,
        target: model.Target,
        changes: Iterable[ranges.Transfer],
        handover: str,
    ) -> None:
        """Send the first grant of ranges that a target has just got."""
        for change in changes:
            holding = self.directory.ownerships[service].find(change.first)
            if holding is None or holding.target != target.name:
                continue
            state = self.get_post(Post(target.name, target.life))
            outcome = await self.send_order(target, holding, state, handover)
            if isinstance(outcome, result.Success):
                continue
            state.next = self.clock.monotonic()
            events.warning(
                "grant_failed",
                target=target.name,
                first=holding.first,
                last=holding.last,
                generation=holding.generation,
                failure=outcome.failure(),
            )

    # Planning.

    def list_usable(
        self, service: str, now: datetime.timedelta
    ) -> tuple[model.Target, ...]:
        """Return the targets that can get keys."""
        usable = []
        for target in self.directory.by_service.get(service, ()):
            state = self.get_post(Post(target.name, target.life))
            good = state.avoid_until <= now and state.failures < FAILURES
            if good and not target.leaving:
                usable.append(target)
        return tuple(usable)

    def read_capacities(
        self, service: str, demand: demands.Demand
    ) -> dict[str, planning.Capacity]:
        """Return what each usable target can serve."""
        usable = self.list_usable(service, self.clock.monotonic())
        return {
            target.name: planning.Capacity(
                target.name, target.slots / demand.seconds[target.name]
            )
            for target in usable
        }

    def plan(self) -> None:
        """Find out who is overloaded, and begin moves that even out the load."""
        now = self.clock.monotonic()
        self.resting = {
            place: until for place, until in self.resting.items() if until > now
        }
        self.admitted = {}
        for service in self.adopted:
            demand = self.read_demand(service)
            capacities = self.read_capacities(service, demand)
            holdings = self.directory.ownerships[service].holdings
            offered = planning.measure(holdings, demand.rates)
            self.admitted |= planning.admit(offered, capacities)
            if self.can_move():
                self.plan_service(service, demand, capacities, now)

    def plan_service(
        self,
        service: str,
        demand: demands.Demand,
        capacities: Mapping[str, planning.Capacity],
        now: datetime.timedelta,
    ) -> None:
        """Begin moves that even out the load of one service."""
        moving = self.moving.get(service, [])
        most = max(MOST_MOVING, int(len(capacities) * MOVING_PART))
        room = most - len(moving)
        if room <= 0:
            return
        held = self.directory.ownerships[service].holdings
        for first, last in moving:
            held = ranges.cut(held, first, last)
        resting = frozenset(key for name, key in self.resting if name == service)
        for move in planning.plan(
            held, demand.rates, capacities, room, demand.window, resting
        ):
            if move.first == move.last:
                self.resting[service, move.first] = now + REST
            self.begin_move(service, move, release=True)

    # The store.

    async def transfer(self, service: str, changes: Iterable[ranges.Transfer]) -> bool:
        """Record the new owners of ranges; return as `commit` does."""
        return await self.commit(
            service, lambda current: ranges.transfer(current, changes)
        )

    async def commit(self, service: str, build: Build) -> bool:
        """Put new owners in force; return false if the store did nothing.

        Changes that come while a transaction runs go into the next one together.

        Raises
        ------
        DeposedError
            If another instance has become the coordinator.
        """
        done = asyncio.get_running_loop().create_future()
        waiting = self.changes.setdefault(service, [])
        waiting.append((build, done))
        if len(waiting) == 1:
            self.tasks.spawn(self.commit_waiting(service))
        return await done

    async def commit_waiting(self, service: str) -> None:
        """Write all changes of a service that wait."""
        lock = self.locks.setdefault(service, asyncio.Lock())
        async with lock:
            batch = self.changes.pop(service, [])
            try:
                outcome = await self.commit_batch(
                    service, [build for build, _ in batch]
                )
            except DeposedError as error:
                for _, done in batch:
                    if not done.done():
                        done.set_exception(error)
                self.deposed = True
                return
            for _, done in batch:
                if not done.done():
                    done.set_result(outcome)

    async def commit_batch(self, service: str, builds: list[Build]) -> bool:
        """Write the owners that result from all changes in one transaction."""
        uncertain = False
        key = directories.RANGES + service
        while True:
            current = self.directory.ownerships.get(service)
            changed = current
            for build in builds:
                changed = build(changed)
            value = ranges.encode(changed)
            outcome = await self.store.commit(
                {
                    directories.COORDINATOR: self.leadership.version,
                    key: current.version if current is not None else 0,
                },
                {key: value},
            )
            if isinstance(outcome, result.Success):
                self.directory.take_written(key, outcome.unwrap(), value)
                return True
            failure = outcome.failure()
            events.warning("commit_failed", service=service, failure=failure)
            if isinstance(failure, errors.RateExceeded | errors.PlatformUnavailable):
                if not uncertain:
                    return False
                await self.clock.sleep(RETRY)
                continue
            uncertain = uncertain or isinstance(failure, errors.AnswerLost)
            await self.read_back()
            row = self.directory.rows.get((model.TABLES.fleet, key))
            if row is not None and row.value == value:
                return True

    async def read_back(self) -> None:
        """Read the fleet's table until that succeeds.

        Raises
        ------
        DeposedError
            If another instance has become the coordinator.
        """
        while not await feeds.read_back(self.store, self.directory):
            await self.clock.sleep(RETRY)
        if self.directory.leadership.version != self.leadership.version:
            raise DeposedError
