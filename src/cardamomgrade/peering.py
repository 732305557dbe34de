"""Session with one peer: its link and its latest heartbeat."""

import attrs

from .link import Link
from .membership import NO_PROOF, Pings
from .messages import Heartbeat


@attrs.define(eq=False)
class PeerSession:
    """An authenticated link and the latest heartbeat received on it.

    ``echoed_ping_s`` is the monotonic time at which this entry sent the ping that
    ``last_heartbeat`` echoes, or None when that is not known.
    """

    link: Link
    pings: Pings = attrs.field(factory=Pings)
    last_heartbeat: Heartbeat | None = None
    echoed_ping_s: float | None = None

    def update(self, heartbeat):
        """Store a heartbeat of the peer as the latest one."""
        self.last_heartbeat = heartbeat
        self.echoed_ping_s = self.pings.sent_s(heartbeat.echo)

    def reports_outage(self, lease_ms, offset, since_s):
        """Return whether the peer reports that its lease on the log has lapsed.

        The report is valid only if the heartbeat echoes a ping sent at ``since_s`` or
        later and the peer had read no record at or after ``offset``.
        """
        if self.echoed_ping_s is None or self.echoed_ping_s < since_s:
            return False
        if self.last_heartbeat.offset > offset:
            return False
        return (
            self.last_heartbeat.age_ms == NO_PROOF
            or self.last_heartbeat.age_ms > lease_ms
        )
