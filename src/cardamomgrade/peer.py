"""Check that the process behind a connection is the expected one."""

import attrs

REPLACED_MIN_S = 0.05  # no other process takes a server's place in a shorter time


@attrs.define(eq=False)
class PeerCheck:
    """Tells whether the process behind a connection is the expected one.

    ``accepts(HttpResponse | Failure)`` returns whether the result of ``req`` is that
    process's. ``answered_at`` is when the latest request was sent that it has answered,
    in seconds of ``loop.boot_now()``.
    """

    req: object
    accepts: object
    answered_at: float = float("-inf")

    def record_answer(self, sent_at):
        """Note that the expected process answered a request sent at ``sent_at``."""
        self.answered_at = max(self.answered_at, sent_at)

    def is_recent(self, now):
        """Return whether no other process can have taken its place by ``now``."""
        return now - self.answered_at < REPLACED_MIN_S
