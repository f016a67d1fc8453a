"""The connections of this instance to targets, and what targets say on them."""

import datetime
import functools

from dewstep_core import clocks, events, settings
from dewstep_entry.targets import acceptance, answering, connection_pool, traffic
from dewstep_fleet import coordination, directories, load_counts, model

CONNECT_TIMEOUT = datetime.timedelta(milliseconds=250)
"""A connection takes 1 ms at the target and 2 ms of network time; a lost packet is
retransmitted after 200 ms."""
MAX_IDLE_TIME = datetime.timedelta(seconds=7)
"""Below the 10 s after which targets close idle connections."""


class TargetPools:
    """A connection pool for each incarnation of a target.

    Parameters
    ----------
    directory : directories.Directory
    loads : load_counts.Loads
        Told of the pauses of targets.
    participant : coordination.FleetParticipant
        Told of departures and limits; counts the instances.
    answer_rules : answering.AnswerRules
    data_centre : str
        Data centre of this instance.
    clock : clocks.Clock
    """

    def __init__(
        self,
        directory: directories.Directory,
        loads: load_counts.Loads,
        participant: coordination.FleetParticipant,
        answer_rules: answering.AnswerRules,
        data_centre: str,
        clock: clocks.Clock,
    ):
        self.directory = directory
        self.loads = loads
        self.participant = participant
        self.answer_rules = answer_rules
        self.clock = clock
        self.by_target: dict[
            tuple[str, int, str, int], connection_pool.ConnectionPool
        ] = {}
        """Connection pools by target name, incarnation, host and port."""
        self.data_centre = data_centre
        self.near, self.far = traffic.Traffic(), traffic.Traffic()
        """Bytes to and from targets in this data centre, and in others."""
        self.resets: dict[str, acceptance.ServiceResets] = {}
        """New connections that the targets of each service have reset."""

    def get(
        self, service: model.Service, target: model.Target
    ) -> connection_pool.ConnectionPool:
        """Return the connection pool for one incarnation of a target."""
        pool_key = (target.name, target.life, target.host, target.port)
        limit = self.find_connection_limit(service, target)
        pool = self.by_target.get(pool_key)
        if pool is None:
            pool = self.by_target[pool_key] = connection_pool.ConnectionPool(
                target.name,
                settings.Address(target.host, target.port),
                self.clock,
                limit,
                connect_timeout=CONNECT_TIMEOUT,
                rules=self.answer_rules,
                reuse_delay=datetime.timedelta(),
                max_idle_time=MAX_IDLE_TIME,
                on_notice=functools.partial(self.receive_notice, target),
                on_answer=functools.partial(
                    self.participant.limits.warm_up.record_answer, target
                ),
                on_unreached=functools.partial(
                    self.participant.limits.warm_up.record_failure, target
                ),
                accepts=acceptance.Acceptance(
                    target.name,
                    self.resets.setdefault(service.name, acceptance.ServiceResets()),
                ),
                counts=self.near
                if target.data_centre == self.data_centre
                else self.far,
            )
        pool.set_limit(limit)
        return pool

    def expect_load(
        self, service: model.Service, target: model.Target, running: int
    ) -> None:
        """Record how many requests are expected at a target that is used now.

        A full target may reset new connections if the maximum allows less than two
        requests a slot for each instance.
        """
        pool = self.by_target.get((target.name, target.life, target.host, target.port))
        if pool is not None:
            scarce = self.find_connection_share(service) < target.slots * 2
            pool.accepts.expects_reset = scarce and running >= target.slots

    def count_resets(self, kind: str) -> int:
        """Return the new connections that were reset, `unused` or `used`."""
        return sum(resets.counts[kind] for resets in self.resets.values())

    def find_connection_share(self, service: model.Service) -> int:
        """Return this instance's share of the connections that a target accepts."""
        return service.max_connections // self.count_instances()

    def count_instances(self) -> int:
        """Return the number of instances that may connect to targets."""
        return max(self.participant.live_instances, len(self.directory.members), 1)

    def find_connection_limit(
        self, service: model.Service, target: model.Target
    ) -> int:
        """Return the maximum number of connections of this instance to a target.

        A target resets those beyond what it accepts from all instances together. Half
        of that is left for instances that start or stop, if it suffices for two
        requests a slot.
        """
        instances = self.count_instances()
        limit = max(target.slots * 2, service.max_connections // (2 * instances))
        return max(1, min(limit, self.find_connection_share(service)))

    def retire(self) -> None:
        """Use no open connection for further requests, since they may hang."""
        for pool in self.by_target.values():
            pool.retire()
        self.by_target.clear()

    def receive_notice(self, target: model.Target, notice: answering.Notice) -> None:
        """Record what a target has said about itself in an answer."""
        registered = self.directory.targets.get(target.name)
        if registered is not None and registered.life != target.life:
            return
        if notice.pause:
            until = self.clock.monotonic() + notice.pause
            self.loads.pause_until(target.name, until.total_seconds())
            events.info("target_paused", target=target.name, lasts=notice.pause)
        if notice.limit is not None:
            self.participant.limits.record_named(target, notice.limit)
        if notice.warm_up_left is not None:
            warm_up = self.participant.limits.warm_up
            warm_up.record_notice(target, notice.warm_up_left)
        if notice.load is not None:
            now = self.clock.monotonic().total_seconds()
            self.loads.observe(target.name, now, *notice.load)
        if notice.leaving:
            # The registration may be missing, or say later that the target is ready.
            self.participant.record_departure(target.name, target.life)

    def retire_outdated(self) -> None:
        """Close connections to targets that were removed or have restarted."""
        targets = self.directory.targets
        for pool_key in list(self.by_target):
            registered = targets.get(pool_key[0])
            current = registered and (
                registered.name,
                registered.life,
                registered.host,
                registered.port,
            )
            if current != pool_key:
                self.by_target.pop(pool_key).retire()
