"""State of one start order at an executor's agent, until the run ends."""

import attrs


@attrs.define(eq=False)
class PendingStart:
    """A start order until the run ends.

    ``accepted_at`` is when the executor confirmed it (monotonic seconds), or None, or
    by when it has taken effect if at all; ``order`` is None for one of another agent;
    ``deadline_ms`` is the lease deadline sent with it, or 0 to take a new one;
    ``maybe_received`` is set when an attempt had no answer and may have arrived.
    ``confirmed`` is set when the agent's incarnation itself showed that it got it.
    """

    order: object
    accepted_at: float | None = None
    deadline_ms: int = 0
    maybe_received: bool = False
    confirmed: bool = False

    @property
    def is_unanswered(self):
        """Whether this is another agent's order that may or may not have arrived."""
        return self.order is None and self.accepted_at is None

    def is_settled(self, proven_at):
        """Return whether the agent's incarnation got it and no later one can.

        ``proven_at`` is when a request was sent that this incarnation answered.
        """
        is_proven = self.accepted_at is not None and self.accepted_at < proven_at
        return self.confirmed or (is_proven and not self.maybe_received)

    def handed_over(self):
        """Return what the agent of the next incarnation knows about the order."""
        return PendingStart(None, None if self.maybe_received else self.accepted_at)

    def confirm(self, sent_at):
        """Note that the incarnation lists the run, asked at ``sent_at``."""
        self.confirmed = True
        if self.is_unanswered:
            self.accepted_at = sent_at
