"""Checks that an executor answers right before a run is started on it again.

An executor without runs is not asked for reports, so that nothing shows that it went
down. If the start of a repeated run gets no answer and another incarnation takes the
executor's place, only such a check tells whether the run may have ended the former one.
"""

FRESH_S = 0.05  # an answer as old as this needs no check; no incarnation begins so fast
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

    @property
    def is_fresh(self):
        """Whether the incarnation has answered so lately that no check is needed."""
        return self._loop.boot_now() - self._answered_at < FRESH_S

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
