"""Throttles fill tasks that share an executor with serving tasks; pure state.

Fill tasks (steps with ``fills`` set) use the cores that serving tasks leave idle.

Load pattern: fill tasks slow the serving tasks down by amounts that change within
seconds. A fill task is halted as soon as the tail latency of a serving task on its
executor nears its target, and is sped up again in steps while latency stays low.
"""

import attrs

FULL_PERCENT = 100
HALTED_PERCENT = 0
STEP_PERCENT = 25
HALT_RATIO = 0.8  # of the target latency; halts before the target is missed
RESUME_RATIO = 0.6  # of the target latency; fill tasks are sped up below it
STEP_INTERVAL_S = 1.0  # two of the 0.5 s windows in which executors measure latency


@attrs.frozen
class Pace:
    """Order to limit a run to ``percent`` of its full speed."""

    executor: str
    task: str
    run: int
    percent: int


class Pacer:
    """Tracks the pace of each fill task, in percent, by (task, run).

    The pace is None where it is not known: after an order without an answer, and for a
    run that an earlier scheduler may have paced.
    """

    def __init__(self):
        self._percents = {}
        self._changed_at = {}

    def decide(self, executor, serving, fills, now):
        """Return the Pace orders for one executor.

        ``serving`` holds (tail latency, target latency) pairs of the serving tasks, in
        ms, and ``fills`` the (task, run) pairs of the fill tasks. A target of 0 means
        that the task has none.
        """
        worst_ratio = max(
            (tail_ms / target for tail_ms, target in serving if target), default=None
        )
        orders = []
        for task, run in fills:
            percent = self._percents.get((task, run), FULL_PERCENT)
            new_percent = self._next_percent(
                percent, worst_ratio, now, self._changed_at.get((task, run))
            )
            if new_percent != percent:
                self._percents[task, run] = new_percent
                self._changed_at[task, run] = now
                orders.append(Pace(executor, task, run, new_percent))
        return orders

    def _next_percent(self, percent, worst_ratio, now, changed_at):
        if worst_ratio is not None and worst_ratio >= HALT_RATIO:
            return HALTED_PERCENT
        may_step = changed_at is None or now - changed_at >= STEP_INTERVAL_S
        if not may_step:
            return percent
        if percent is None and worst_ratio is None:
            return FULL_PERCENT
        if worst_ratio is None or worst_ratio < RESUME_RATIO:
            return min(FULL_PERCENT, (percent or HALTED_PERCENT) + STEP_PERCENT)
        return percent

    def inherit(self, task, run):
        """Note that an earlier scheduler may have paced a run."""
        self._percents.setdefault((task, run), None)

    def failed(self, order):
        """Note that a Pace order failed, which may have been carried out even so."""
        self._percents[order.task, order.run] = None
