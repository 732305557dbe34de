"""Executors as the scheduler knows them: their capacity and what holds it."""

import attrs


@attrs.frozen
class Holding:
    """Room that one run takes on an executor until its end is known."""

    task: object
    run: int
    cores_m: int
    memory_mb: int
    accelerators: int
    lasting: bool


class Executor:
    """One life of an executor.

    ``listed`` tells whether its entry is in the platform's list, ``cordoned`` whether
    it takes no new runs because its VM is due for upkeep, ``silent`` whether it did
    not answer when it was called last.
    """

    def __init__(self, entry):
        self.entry = entry
        self.listed = True
        self.cordoned = False
        self.silent = False
        self.holdings = {}
        self.cores_m = 0
        self.memory_mb = 0
        self.accelerators = 0

    @property
    def name(self):
        """The id of this life."""
        return self.entry.executor

    @property
    def open(self):
        """Whether new runs may be placed here."""
        return not (
            self.entry.draining or self.cordoned or self.silent or not self.listed
        )

    def fits(self, step):
        """Return whether one more task of a step fits."""
        entry = self.entry
        return (
            self.cores_m + step.counted_cores_m <= entry.cores_m
            and self.memory_mb + step.memory_mb <= entry.memory_mb
            and self.accelerators + step.accelerators <= entry.accelerators
        )

    @property
    def free_share(self):
        """The share of the processors that no run holds."""
        return 1 - self.cores_m / max(1, self.entry.cores_m)

    def hold(self, task, run, step):
        """Take the room of a run."""
        holding = Holding(
            task,
            run,
            step.counted_cores_m,
            step.memory_mb,
            step.accelerators,
            step.lasting,
        )
        self.holdings[task] = holding
        self._shift(holding, 1)

    def release(self, task):
        """Give back the room of a task's run, once."""
        holding = self.holdings.pop(task, None)
        if holding is not None:
            self._shift(holding, -1)

    def _shift(self, holding, sign):
        self.cores_m += sign * holding.cores_m
        self.memory_mb += sign * holding.memory_mb
        self.accelerators += sign * holding.accelerators
