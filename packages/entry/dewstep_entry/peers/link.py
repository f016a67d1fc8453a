"""All connections to the other entry processes.

Each process opens the connection for its own requests and messages, so a pair of
processes that talk both ways has one link per direction and no dispute over which of
two connections to keep. A link belongs to one pair of incarnations.
"""

import asyncio
import enum
from collections.abc import Callable, Iterable
from typing import Any

from returns import result

from dewstep_core import clock as clocks, data, errors, settings
from dewstep_entry import interfaces
from dewstep_entry.peers import incoming, outgoing, session as sessions, wire


class Change(enum.Enum):
    """What happened to a peer's connection."""

    UP = "up"
    REFUSED = "refused"
    RESET = "reset"
    """An established connection ended."""
    TIMED_OUT = "timed-out"
    """Connecting or hello took too long."""


Notify = Callable[[data.Member, Change], None]


class PeerNetwork:
    """Links to and from all peers.

    Parameters
    ----------
    member : data.Member
        This process; with port 0, `start` sets the port that it got.
    clock : Clock
        Clock in which the requests' deadlines stand.
    handler : RequestHandler
        Answers the peers' requests.
    receiver : MessageHandler
        Takes the peers' messages.
    notify : callable
        Called with a peer and what happened to its connection. Must not block.
    limits : PeerSettings
        Timing.
    """

    def __init__(
        self,
        member: data.Member,
        clock: clocks.Clock,
        handler: interfaces.RequestHandler,
        receiver: interfaces.MessageHandler,
        notify: Notify,
        limits: settings.PeerSettings = settings.PeerSettings(),  # noqa: B008
    ):
        self.member = member
        self.clock = clock
        self.handler = handler
        self.receiver = receiver
        self.notify = notify
        self.limits = limits
        self.cut: frozenset[str] = frozenset()
        self.links: dict[tuple, outgoing.OutgoingLink] = {}
        self.dials: dict[sessions.Session, outgoing.OutgoingLink] = {}
        self.accepted: dict[sessions.Session, incoming.IncomingLink] = {}
        self.greeting: dict[sessions.Session, asyncio.TimerHandle] = {}
        self.tasks: set[asyncio.Task] = set()
        self.server: asyncio.Server | None = None
        self.stopped = False

    async def start(self) -> None:
        """Listen on the peer address."""
        self.server = await asyncio.get_running_loop().create_server(
            self._accept, self.member.host, self.member.port
        )
        port = self.server.sockets[0].getsockname()[1]
        self.member = self.member._replace(port=port)

    async def stop(self) -> None:
        """Close all connections; streams in progress fail at both ends."""
        self.stopped = True
        if self.server is not None:
            self.server.close()
        for task in list(self.tasks):
            task.cancel()
        for session in [*self.dials, *self.accepted, *self.greeting]:
            session.abort()

    async def exchange(
        self, member: data.Member, request: data.Request
    ) -> result.Result[data.Answer, interfaces.Failure]:
        """Send `request` to a peer and return its answer.

        A failure that the peer answered with arrives as an answer with `failure` set;
        `failures.restore_failure` gives it back.

        Returns
        -------
        Result
            The answer, or `PeerUnreachable` (not sent), `ConnectionLost` or
            `DeadlineExceeded` (unknown).
        """
        link = self._find_link(member)
        if link is None:
            return result.Failure(errors.PeerUnreachable(member.entry))
        return await link.exchange(request)

    def send(self, member: data.Member, message: Any) -> bool:
        """Send a message without blocking; false if it was not taken."""
        link = self._find_link(member)
        if link is None:
            return False
        encoded = wire.encode(message)
        if len(encoded) > wire.MAXIMUM_FRAME_BYTES:
            return False
        return link.send(encoded)

    def disconnect(self, member: data.Member) -> None:
        """Close the link to a member that is taken for lost.

        Its streams end at once, instead of at their deadlines.
        """
        for session, link in list(self.dials.items()):
            if link.member == member:
                session.abort()

    def set_cut(self, names: Iterable[str]) -> None:
        """Separate this process from peers, as a partition would (fault injection).

        Parameters
        ----------
        names : iterable of str
            Data centres and entry names. Frames from and to them are dropped and
            connections refused, until a later call leaves them out.
        """
        self.cut = frozenset(names)
        for session in [*self.dials, *self.accepted]:
            # Frames are missing, so what follows would make no sense.
            if session.dropped and not self.is_cut(session.peer):
                session.abort()

    def is_cut(self, member: data.Member) -> bool:
        """Whether an injected fault separates this process from `member`."""
        return member.data_centre in self.cut or member.entry in self.cut

    # Outgoing links.

    def _find_link(self, member: data.Member) -> outgoing.OutgoingLink | None:
        key = (member.entry, member.incarnation, member.host, member.port)
        link = self.links.get(key)
        if link is not None:
            return link
        if self.stopped:
            return None
        if self.is_cut(member):
            self.notify(member, Change.REFUSED)
            return None
        link = self.links[key] = outgoing.OutgoingLink(member, self.clock)
        task = asyncio.ensure_future(self._dial(link))
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)
        return link

    async def _dial(self, link: outgoing.OutgoingLink) -> None:
        session = sessions.Session(self.member, self, self.is_cut)
        self.dials[session] = link
        change = None
        try:
            async with asyncio.timeout(self.limits.connect_timeout.total_seconds()):
                await asyncio.get_running_loop().create_connection(
                    lambda: session, link.member.host, link.member.port
                )
                await asyncio.shield(link.settled)
            if link.session is None:
                # Closed before hello, or the hello of another incarnation.
                change = Change.REFUSED
        except TimeoutError:
            change = Change.TIMED_OUT
        except OSError:
            change = Change.REFUSED
        finally:
            if not link.ready:
                session.abort()
        if change is not None:
            self.notify(link.member, change)

    def _end_link(self, link: outgoing.OutgoingLink) -> None:
        member = link.member
        key = (member.entry, member.incarnation, member.host, member.port)
        if self.links.get(key) is link:
            del self.links[key]
        link.fail()

    # Incoming links.

    def _accept(self) -> sessions.Session:
        session = sessions.Session(self.member, self, self.is_cut)
        self.greeting[session] = asyncio.get_running_loop().call_later(
            self.limits.connect_timeout.total_seconds(), session.abort
        )
        return session

    # Reports of sessions.

    def take_ready(self, session: sessions.Session) -> None:
        """Start the link of a session whose hello arrived."""
        link = self.dials.get(session)
        if link is None:
            self.greeting.pop(session).cancel()
            self.accepted[session] = incoming.IncomingLink(
                session, self.clock, self.handler, self.receiver
            )
            return
        expected = (link.member.entry, link.member.incarnation)
        found = (session.peer.entry, session.peer.incarnation)
        if any(expected) and found != expected:
            # The address now belongs to another run of the process.
            session.abort()
            return
        link.start(session)
        self.notify(session.peer, Change.UP)

    def take_frame(self, session: sessions.Session, frame: Any) -> None:
        """Pass a frame to the session's link."""
        link = self.dials.get(session) or self.accepted.get(session)
        if link is not None:
            link.take_frame(frame)

    def take_loss(self, session: sessions.Session) -> None:
        """End the link of a session."""
        greeting = self.greeting.pop(session, None)
        if greeting is not None:
            greeting.cancel()
        link = self.dials.pop(session, None)
        established = session.peer is not None
        if link is not None:
            established = link.ready
            self._end_link(link)
        served = self.accepted.pop(session, None)
        if served is not None:
            served.end()
        if established and not self.stopped:
            self.notify(session.peer, Change.RESET)
