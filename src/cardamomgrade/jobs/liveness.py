"""Checks that an executor answers right before a run is started on it.

An executor without runs is not asked for reports, so that nothing shows that it went
down, and a start that it may have received binds its task until the lease is over. If
the start of a repeated run gets no answer and another incarnation takes the executor's
place, only a check tells whether the run may have ended the former one.
"""

FRESH_S = 0.05  # of an answer before a repeated run; no incarnation begins so fast
HEARD_S = 1.5  # of an answer before a first run; executors with runs answer each second
CHECK_AGE_MAX_S = 1.0  # beyond the client's timeout only if this machine was suspended


class Liveness:
    """Asks one incarnation for a report; checks made meanwhile share its answer.

    ``ask(on_done)`` requests a report. Times are in seconds of ``loop.boot_now()``.
    """

    def __init__(self, loop, ask):
        self._loop = loop
        self._ask = ask
        self._answered_at = float("-inf")
        self._waiting = []

    def record_answer(self):
        """Note that the incarnation has answered just now."""
        self._answered_at = self._loop.boot_now()

    def has_answered(self, within_s):
        """Return whether the incarnation has answered in the last ``within_s``."""
        return self._loop.boot_now() - self._answered_at < within_s

    def check(self, on_done):
        """Call ``on_done(report, in_time)``, where ``report`` is what ``ask`` returned.

        ``in_time`` is false if the report is too old to show anything.
        """
        self._waiting.append(on_done)
        if len(self._waiting) > 1:
            return
        asked_at = self._loop.boot_now()

        def done(report):
            waiting, self._waiting = self._waiting, []
            in_time = self._loop.boot_now() - asked_at < CHECK_AGE_MAX_S
            for on_done in waiting:
                on_done(report, in_time)

        self._ask(done)
