"""The role of this instance in the fleet, and the term in which it has it.

The term rises with each coordinator. A message of an earlier term is refused, so that
its sender notices its successor.
"""

from dewstep_fleet import frames, links, model


class Role:
    """Whether this instance is the coordinator, a deputy or a mere member.

    Parameters
    ----------
    own_member : model.Member
        This instance.
    """

    def __init__(self, own_member: model.Member):
        self.own_member = own_member
        self.term = 0
        self.coordinating = False
        self.deputy = False
        """Whether this member also follows tables of the store, see `own_reports`."""
        self.stopping = False
        """Whether this instance is about to stop and should lead no further."""

    def build_frame(self, kind: str, **fields) -> frames.Frame:
        """Return a message from this instance."""
        return frames.Frame(
            kind,
            self.term,
            self.own_member.node,
            self.own_member.incarnation,
            reads_evacuations=True,
            **fields,
        )

    def is_current(self, link: links.Link, frame: frames.Frame) -> bool:
        """Whether a message is not from an earlier term; if it is, close its link."""
        if frame.term >= self.term:
            return True
        link.send(self.build_frame("tell", heard=False))
        link.close()
        return False
