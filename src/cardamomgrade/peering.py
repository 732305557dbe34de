"""What the newest heartbeats of one peer tell."""

import attrs

from .link import Link
from .membership import NO_PROOF, Pings
from .messages import Heartbeat


@attrs.define(eq=False)
class PeerSession:
    """A link that is up, with the newest heartbeat that it brought.

    ``answers_s`` is when the ping was sent that this heartbeat echoes, or None.
    """

    link: Link
    pings: Pings = attrs.field(factory=Pings)
    last: Heartbeat | None = None
    answers_s: float | None = None

    def take(self, heartbeat):
        """Take a heartbeat of the peer."""
        self.last = heartbeat
        self.answers_s = self.pings.sent_s(heartbeat.echo)

    def says_outage(self, lease_ms, offset, since_s):
        """Return whether the peer told that its lease on the log has lapsed.

        That counts when it answers a ping sent after ``since_s`` and the peer had
        read nothing from ``offset`` on.
        """
        if self.answers_s is None or self.answers_s < since_s:
            return False
        if self.last.offset > offset:
            return False
        return self.last.age_ms == NO_PROOF or self.last.age_ms > lease_ms
