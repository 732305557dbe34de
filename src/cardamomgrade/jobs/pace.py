"""Throttles fill tasks that share an executor with serving tasks; pure state.

Fill tasks (steps with ``fills`` set) use the cores that serving tasks leave idle.

Load pattern: fill tasks slow the serving tasks down by amounts that change within
seconds. A fill task is halted as soon as the tail latency of a serving task on its
executor nears its target, and is sped up again in steps while latency stays low.

An order that gets no answer may be carried out after later ones, so that the pace of a
task may differ from the one that was ordered last.
"""

import attrs

from .former import LATE_CALL_S

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


@attrs.define(eq=False)
class _FillState:
    """What is known of the pace of a fill task.

    ``percent`` was ordered last, at ``ordered_at``. It is None where the pace is not
    known: after an order without an answer, and for a run that an earlier scheduler may
    have paced. Such orders may be carried out until ``late_until``, which is infinite
    once the pace was ordered again after it.
    """

    percent: int | None = FULL_PERCENT
    ordered_at: float = float("-inf")
    late_until: float = float("inf")

    def order(self, percent, now):
        """Note that the pace is ordered now."""
        self.percent, self.ordered_at = percent, now
        if now >= self.late_until:
            self.late_until = float("inf")


class Pacer:
    """Tracks the pace of each fill task by (task, run)."""

    def __init__(self):
        self._fills = {}

    def decide(self, executor, serving, fills, now):
        """Return the Pace orders for one executor.

        ``serving`` holds (tail latency, target latency) pairs of the serving tasks, in
        ms, and ``fills`` has (task, run, cores in use) of each fill task. A target of 0
        means that the task has none.
        """
        worst_ratio = max(
            (tail_ms / target for tail_ms, target in serving if target), default=None
        )
        orders = []
        for task, run, used_cores in fills:
            fill = self._fills.setdefault((task, run), _FillState())
            percent = self._next_percent(fill, worst_ratio, now)
            if percent is None:
                continue
            if (
                percent != fill.percent
                or now >= fill.late_until
                or self._works_on(fill, worst_ratio, used_cores, now)
            ):
                fill.order(percent, now)
                orders.append(Pace(executor, task, run, percent))
        return orders

    def _next_percent(self, fill, worst_ratio, now):
        percent = fill.percent
        if worst_ratio is not None and worst_ratio >= HALT_RATIO:
            return HALTED_PERCENT
        if now - fill.ordered_at < STEP_INTERVAL_S:
            return percent
        if percent is None and worst_ratio is None:
            return FULL_PERCENT
        if worst_ratio is None or worst_ratio < RESUME_RATIO:
            return min(FULL_PERCENT, (percent or HALTED_PERCENT) + STEP_PERCENT)
        return percent

    def _works_on(self, fill, worst_ratio, used_cores, now):
        """Return whether a task that was halted works on and disturbs."""
        disturbs = worst_ratio is not None and worst_ratio >= HALT_RATIO
        is_measured = now - fill.ordered_at >= STEP_INTERVAL_S
        is_halted = fill.percent == HALTED_PERCENT
        return disturbs and is_measured and is_halted and used_cores > 0

    def inherit(self, task, run, now):
        """Note that an earlier scheduler may have paced a run."""
        if (task, run) not in self._fills:
            late_until = now + LATE_CALL_S
            self._fills[task, run] = _FillState(None, late_until=late_until)

    def failed(self, order, now):
        """Note that a Pace order failed, which may be carried out even so."""
        fill = self._fills[order.task, order.run]
        fill.percent, fill.late_until = None, now + LATE_CALL_S
