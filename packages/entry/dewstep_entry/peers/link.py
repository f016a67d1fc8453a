"""Connections to the other entry processes.

Each process opens a connection for its own requests and messages. A pair of processes
therefore has one link per direction and need not decide which of two connections to
keep. A link belongs to one pair of incarnations.
"""

import asyncio
import enum
from collections.abc import Callable, Iterable
from typing import Any

from returns import result

from dewstep_core import clocks, data, errors, settings
from dewstep_entry import interfaces
from dewstep_entry.peers import incoming, outgoing, sessions, wire


class ConnectionChange(enum.Enum):
    """A change of the connection to a peer."""

    UP = "up"
    REFUSED = "refused"
    RESET = "reset"
    """An established connection of this process was closed."""
    CLOSED_BY_PEER = "closed-by-peer"
    """An established connection of the peer was closed. A peer closes its connection
    when it ends, and also when it suspects this process."""
    TIMED_OUT = "timed-out"
    """No connection, or no hello on it, within `connect_timeout`."""


ChangeCallback = Callable[[data.Member, ConnectionChange], None]


class PeerNetwork:
    """The links to and from all peers.

    Parameters
    ----------
    member : data.Member
        This process. If the port is 0, `start` replaces it by the bound port.
    clock : Clock
        Clock of the requests' deadlines.
    request_handler : RequestHandler
        Handles the peers' requests.
    message_handler : MessageHandler
        Handles the peers' messages.
    notify_change : callable
        Called with a peer and the change of its connection. Must not block.
    peer_settings : PeerSettings
        Provides the timeout for connecting to a peer.
    """

    def __init__(
        self,
        member: data.Member,
        clock: clocks.Clock,
        request_handler: interfaces.RequestHandler,
        message_handler: interfaces.MessageHandler,
        notify_change: ChangeCallback,
        peer_settings: settings.PeerSettings = settings.PeerSettings(),  # noqa: B008
    ):
        self.member = member
        self.clock = clock
        self.request_handler = request_handler
        self.message_handler = message_handler
        self.notify_change = notify_change
        self.peer_settings = peer_settings
        self.partitioned_names: frozenset[str] = frozenset()
        self.links: dict[tuple, outgoing.OutgoingLink] = {}
        self.links_by_session: dict[sessions.Session, outgoing.OutgoingLink] = {}
        self.incoming_links: dict[sessions.Session, incoming.IncomingLink] = {}
        self.hello_timers: dict[sessions.Session, asyncio.TimerHandle] = {}
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
        for session in [
            *self.links_by_session,
            *self.incoming_links,
            *self.hello_timers,
        ]:
            session.abort()

    async def exchange(
        self, member: data.Member, request: data.Request
    ) -> result.Result[data.Answer, interfaces.Failure]:
        """Send `request` to a peer and return its answer.

        If the peer answered with a failure, it is returned as an answer with `failure`
        set, which `failures.restore_failure` decodes.

        Returns
        -------
        Result
            The answer, or `PeerUnreachable` (not sent), `ConnectionLost` or
            `DeadlineExceeded` (unknown).
        """
        link = self._get_link(member)
        if link is None:
            return result.Failure(errors.PeerUnreachable(member.entry))
        return await link.exchange(request)

    def send(self, member: data.Member, message: Any) -> bool:
        """Send a message without blocking; return false if it was dropped."""
        link = self._get_link(member)
        if link is None:
            return False
        encoded = wire.encode(message)
        if len(encoded) > wire.MAXIMUM_FRAME_BYTES:
            return False
        return link.send(encoded)

    def disconnect(self, member: data.Member) -> None:
        """Close the link to a member that is considered lost.

        Its streams fail immediately instead of at their deadlines.
        """
        for session, link in list(self.links_by_session.items()):
            if link.member == member:
                session.abort()

    def set_partition(self, names: Iterable[str]) -> None:
        """Simulate a network partition from peers (fault injection).

        Parameters
        ----------
        names : iterable of str
            Data centres and entry names. Frames from and to them are dropped and
            connections refused, until a later call omits them.
        """
        self.partitioned_names = frozenset(names)
        for session in [*self.links_by_session, *self.incoming_links]:
            # Frames were dropped, so the stream state of both ends differs.
            if session.frames_dropped and not self.is_partitioned(session.peer):
                session.abort()

    def is_partitioned(self, member: data.Member) -> bool:
        """Whether a simulated partition separates this process from `member`."""
        return (
            member.data_centre in self.partitioned_names
            or member.entry in self.partitioned_names
        )

    # Outgoing links.

    def _get_link(self, member: data.Member) -> outgoing.OutgoingLink | None:
        key = (member.entry, member.incarnation, member.host, member.port)
        link = self.links.get(key)
        if link is not None:
            return link
        if self.stopped:
            return None
        if self.is_partitioned(member):
            self.notify_change(member, ConnectionChange.REFUSED)
            return None
        link = self.links[key] = outgoing.OutgoingLink(member, self.clock)
        task = asyncio.ensure_future(self._connect(link))
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)
        return link

    async def _connect(self, link: outgoing.OutgoingLink) -> None:
        session = sessions.Session(self.member, self, self.is_partitioned)
        self.links_by_session[session] = link
        change = None
        try:
            async with asyncio.timeout(
                self.peer_settings.connect_timeout.total_seconds()
            ):
                await asyncio.get_running_loop().create_connection(
                    lambda: session, link.member.host, link.member.port
                )
                await asyncio.shield(link.connecting_finished)
            if link.session is None:
                # Closed before hello, or hello was from another incarnation.
                change = ConnectionChange.REFUSED
        except TimeoutError:
            change = ConnectionChange.TIMED_OUT
        except OSError:
            change = ConnectionChange.REFUSED
        finally:
            if not link.ready:
                session.abort()
        if change is not None:
            self.notify_change(link.member, change)

    def _end_link(self, link: outgoing.OutgoingLink) -> None:
        member = link.member
        key = (member.entry, member.incarnation, member.host, member.port)
        if self.links.get(key) is link:
            del self.links[key]
        link.fail()

    # Incoming links.

    def _accept(self) -> sessions.Session:
        session = sessions.Session(self.member, self, self.is_partitioned)
        self.hello_timers[session] = asyncio.get_running_loop().call_later(
            self.peer_settings.connect_timeout.total_seconds(), session.abort
        )
        return session

    # Callbacks of sessions.

    def handle_ready(self, session: sessions.Session) -> None:
        """Start the link of a session after its hello."""
        link = self.links_by_session.get(session)
        if link is None:
            self.hello_timers.pop(session).cancel()
            self.incoming_links[session] = incoming.IncomingLink(
                session, self.clock, self.request_handler, self.message_handler
            )
            return
        expected = (link.member.entry, link.member.incarnation)
        found = (session.peer.entry, session.peer.incarnation)
        if any(expected) and found != expected:
            # The address now belongs to another process or incarnation.
            self.notify_change(session.peer, ConnectionChange.UP)
            session.abort()
            return
        link.start(session)
        self.notify_change(session.peer, ConnectionChange.UP)

    def handle_frame(self, session: sessions.Session, frame: Any) -> None:
        """Pass a frame to the session's link."""
        link = self.links_by_session.get(session) or self.incoming_links.get(session)
        if link is not None:
            link.handle_frame(frame)

    def handle_loss(self, session: sessions.Session) -> None:
        """End the link of a session."""
        hello_timer = self.hello_timers.pop(session, None)
        if hello_timer is not None:
            hello_timer.cancel()
        link = self.links_by_session.pop(session, None)
        established = session.peer is not None
        change = ConnectionChange.CLOSED_BY_PEER
        if link is not None:
            established = link.ready
            change = ConnectionChange.RESET
            self._end_link(link)
        incoming_link = self.incoming_links.pop(session, None)
        if incoming_link is not None:
            incoming_link.cancel_streams()
        if established and not self.stopped:
            self.notify_change(session.peer, change)
