"""The links of this instance to the others.

The coordinator connects to all members. Links that others have opened are accepted and
kept until they close.
"""

import asyncio
import collections
import datetime
from collections.abc import Callable

from dewstep_core import clocks, events, tasks
from dewstep_fleet import directories, frames, links, model, roles

RECONNECT_PAUSE = datetime.timedelta(milliseconds=300)


class MemberLinks:
    """The links of a coordinator to the members, and those that others opened.

    Parameters
    ----------
    role : roles.Role
    directory : directories.Directory
    clock : clocks.Clock
    task_owner : tasks.TaskOwner
    receive : callable
        Called with a link and each message received on it.
    handle_closed : callable
        Called with a link after it has closed; has to drop it here.
    handle_member_lost : callable
        Called with the node of a member whose link was dropped.
    """

    def __init__(
        self,
        role: roles.Role,
        directory: directories.Directory,
        clock: clocks.Clock,
        task_owner: tasks.TaskOwner,
        receive: Callable[[links.Link, frames.Frame], None],
        handle_closed: Callable[[links.Link], None],
        handle_member_lost: Callable[[str], None],
    ):
        self.role = role
        self.directory = directory
        self.clock = clock
        self.tasks = task_owner
        self.receive = receive
        self.handle_closed = handle_closed
        self.handle_member_lost = handle_member_lost
        self.server: asyncio.Server | None = None
        self.accepted: set[links.Link] = set()
        self.links: dict[str, links.Link] = {}
        """Links of this coordinator to the members."""
        self.next_dial_at: dict[str, datetime.timedelta] = {}
        self.sent_bytes = collections.Counter()
        """Bytes sent on all links but those of votes, by kind of message."""

    async def listen(self) -> None:
        """Listen for connections of other instances."""
        loop = asyncio.get_running_loop()
        own_member = self.role.own_member
        self.server = await loop.create_server(
            self._accept, own_member.host, own_member.port
        )

    def close(self) -> None:
        """Close all links and stop listening."""
        for link in [*self.links.values(), *self.accepted]:
            link.close()
        if self.server is not None:
            self.server.close()

    def close_member_links(self) -> None:
        """Close the links of a term that has ended."""
        for link in list(self.links.values()):
            link.close()
        self.links.clear()

    def is_from_member(self, link: links.Link, frame: frames.Frame) -> bool:
        """Whether a message came on the link of this coordinator to its sender."""
        return self.role.coordinating and self.links.get(frame.node) is link

    def count_unsent_bytes(self) -> int:
        """Return the bytes that wait to be sent to members."""
        return sum(link.count_unsent_bytes() for link in self.links.values())

    def _accept(self) -> links.Link:
        link = links.Link(self.receive, self.handle_closed)
        link.sent_bytes = self.sent_bytes
        self.accepted.add(link)
        return link

    def drop(self, link: links.Link) -> None:
        """Forget a link that has closed or counts as broken."""
        self.accepted.discard(link)
        for node, known in list(self.links.items()):
            if known is link:
                del self.links[node]
                self.handle_member_lost(node)
                events.info("member_lost", node=node)

    def dial_members(self, now: datetime.timedelta) -> None:
        """Connect to all members without a link."""
        for node, member in self.directory.members.items():
            if node == self.role.own_member.node or node in self.links:
                continue
            if now < self.next_dial_at.get(node, now):
                continue
            self.next_dial_at[node] = now + RECONNECT_PAUSE + links.CONNECT_TIMEOUT
            self.tasks.spawn(self.dial(member))

    async def dial(self, member: model.Member) -> None:
        """Connect to one member and start to synchronise its rows."""
        try:
            link = await links.connect(
                member.host, member.port, self.receive, self.handle_closed
            )
        except OSError as error:
            events.info("dial_failed", node=member.node, error=type(error).__name__)
            return
        finally:
            self.next_dial_at[member.node] = self.clock.monotonic() + RECONNECT_PAUSE
        if not self.role.coordinating or member.node in self.links:
            link.close()
            return
        link.sent_bytes = self.sent_bytes
        self.links[member.node] = link
        link.opened_at = self.clock.monotonic()
        # Sending all rows to all members would saturate a slow link for seconds.
        if not link.send(self.role.build_frame("greeting")):
            self.drop(link)
