"""How fast tasks that fill may work beside tasks that serve; pure state.

Load pattern: tasks that fill use what serving tasks leave and disturb them by amounts
that change within seconds. A fill is halted as soon as a serving task on its executor
comes near its target, and comes back in steps while there is room.
"""

import attrs

FULL = 100
HALTED = 0
STEP = 25
NEAR_SHARE = 0.8  # of the target: halt from here on, before it is missed
EASY_SHARE = 0.6  # of the target: let fills work more below it
STEP_S = 1.0  # two of the half seconds over which an executor measures


@attrs.frozen
class Pace:
    """An order to let a run work at ``percent``."""

    executor: str
    task: str
    run: int
    percent: int


class Pacer:
    """The pace of every fill, by (task, run)."""

    def __init__(self):
        self._percents = {}
        self._changed_at = {}

    def decide(self, executor, serving, fills, now):
        """Return the Pace orders for one executor.

        ``serving`` holds (tail in ms, target in ms) of tasks that serve, ``fills`` the
        (task, run) of tasks that fill.
        """
        worst = max((tail / target for tail, target in serving if target), default=0)
        orders = []
        for task, run in fills:
            percent = self._percents.get((task, run), FULL)
            wanted = self._next(percent, worst, now, self._changed_at.get((task, run)))
            if wanted != percent:
                self._percents[task, run] = wanted
                self._changed_at[task, run] = now
                orders.append(Pace(executor, task, run, wanted))
        return orders

    def _next(self, percent, worst, now, changed_at):
        if worst >= NEAR_SHARE:
            return HALTED
        rested = changed_at is None or now - changed_at >= STEP_S
        if worst < EASY_SHARE and rested:
            return min(FULL, percent + STEP)
        return percent

    def failed(self, order):
        """Take note that a Pace was not taken, so that it is decided again."""
        self._percents.pop((order.task, order.run), None)
