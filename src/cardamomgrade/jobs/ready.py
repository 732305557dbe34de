"""Jobs with tasks that may start now, per service, in the order they get capacity.

Load pattern: thousands of tasks wait while each placement round places a few. A job is
ordered when it changes and when its rank ends, so that a round costs no look at the
jobs that cannot be placed beyond one comparison each.
"""

from bisect import bisect_left, insort
from collections import Counter
from itertools import islice

import attrs

from .customers import KINDS, needs_of
from .urgency import order_key, Rank, rank_ends_at_age_ms, rank_of
from .waiting import WaitingWork

ENTITLED_RANKS = (
    Rank.BEGUN,
    Rank.LAST_CHANCE,
    Rank.IN_TIME,
    Rank.AT_RISK,
    Rank.LATE,
)
REFRESH_MS = 1000.0  # expected run times are learned while jobs wait
EXPIRED_MAX = 200  # of a round; thousands at once took a third of a second


@attrs.frozen
class ReadyJob:
    """A job, its StepStates with waiting tasks, and its place in the order.

    ``valid_until_ms`` is the wall-clock time at which its rank has to be evaluated
    again. ``urgent_cores_m`` is the need of its waiting tasks, in thousandths of a
    core, if the job can be in time, ``late_cores_m`` if it is late or excess; the other
    is 0, and both are if it is hopeless. ``backlog_core_ms`` is the work that it has
    left, 0 if it is lasting, excess or hopeless. ``late_core_ms`` and
    ``hopeless_core_ms`` are the work left of a job that is late or excess, or hopeless,
    else 0. ``work`` is the same of a job with a customer, else None.
    """

    job: object
    steps: list
    key: tuple
    valid_until_ms: float
    urgent_cores_m: int
    late_cores_m: int
    backlog_core_ms: float
    work: object = None
    late_core_ms: float = 0.0
    hopeless_core_ms: float = 0.0


def ready_job(job, steps, forecast, priority, wall_ms):
    """Return the ReadyJob of a JobProgress with a Forecast made at ``wall_ms``."""
    accepted_ms = job.spec.accepted_ms
    key = order_key(forecast, priority, (accepted_ms, job.spec.job))
    ends_ms = accepted_ms + rank_ends_at_age_ms(forecast)
    rank = rank_of(forecast)
    cores_m = sum(state.waiting * state.step.reserved_cores_m for state in steps)
    valid_until_ms = min(max(ends_ms, wall_ms), wall_ms + REFRESH_MS)
    counts = (
        cores_m if rank < Rank.LATE else 0,
        cores_m if rank in (Rank.LATE, Rank.EXCESS) else 0,
        forecast.core_ms if rank in ENTITLED_RANKS else 0.0,
    )
    work = _waiting_work(steps, counts, rank) if job.spec.customer else None
    late_core_ms = forecast.core_ms if rank in (Rank.LATE, Rank.EXCESS) else 0.0
    hopeless_core_ms = forecast.core_ms if rank is Rank.HOPELESS else 0.0
    return ReadyJob(
        job, steps, key, valid_until_ms, *counts, work, late_core_ms, hopeless_core_ms
    )


def _waiting_work(steps, counts, rank):
    amounts = [0] * len(KINDS)
    for state in steps if rank < Rank.HOPELESS else ():
        for kind, need in enumerate(needs_of(state.step)):
            amounts[kind] += state.waiting * need
    return WaitingWork(*counts, tuple(amounts))


class ReadyJobs:
    """The ReadyJobs of one service, and the sums of their needs and of their work.

    ``work_by_customer`` maps the customers of these jobs to their WaitingWork.
    """

    def __init__(self):
        self.work_by_customer = {}
        self._jobs_by_customer = Counter()
        self._by_name = {}
        self._order = []
        self.urgent_cores_m = 0
        self.late_cores_m = 0
        self.backlog_core_ms = 0.0
        self.late_core_ms = 0.0
        self.hopeless_core_ms = 0.0

    def __iter__(self):
        """Iterate over a copy of the ReadyJobs, the first to get capacity first."""
        return iter([self._by_name[key[-1][1]] for key in self._order])

    def least_cores_m(self):
        """Return the cores that the smallest waiting task needs, in thousandths."""
        return min(
            (
                state.step.reserved_cores_m
                for item in self._by_name.values()
                for state in item.steps
            ),
            default=0,
        )

    def put(self, item):
        """Add a ReadyJob, or replace that of the same job."""
        name = item.job.spec.job
        self.discard(name)
        self._by_name[name] = item
        insort(self._order, item.key)
        self.urgent_cores_m += item.urgent_cores_m
        self.late_cores_m += item.late_cores_m
        self.backlog_core_ms += item.backlog_core_ms
        self.late_core_ms += item.late_core_ms
        self.hopeless_core_ms += item.hopeless_core_ms
        self._count_work(item, 1)

    def discard(self, name):
        """Remove a job, by name, if it is there."""
        item = self._by_name.pop(name, None)
        if item is not None:
            del self._order[bisect_left(self._order, item.key)]
            self.urgent_cores_m -= item.urgent_cores_m
            self.late_cores_m -= item.late_cores_m
            # The rounding errors of removed items must not add up.
            left_core_ms = self.backlog_core_ms - item.backlog_core_ms
            self.backlog_core_ms = left_core_ms if self._order else 0.0
            self.late_core_ms -= item.late_core_ms
            self.hopeless_core_ms -= item.hopeless_core_ms
            self._count_work(item, -1)

    def _count_work(self, item, sign):
        customer = item.job.spec.customer
        if not customer:
            return
        self._jobs_by_customer[customer] += sign
        if not self._jobs_by_customer[customer]:
            del self._jobs_by_customer[customer], self.work_by_customer[customer]
            return
        self.work_by_customer.setdefault(customer, WaitingWork()).add(item.work, sign)

    def expired(self, wall_ms):
        """Return the names of jobs whose rank has to be evaluated again.

        They are EXPIRED_MAX at most, those first that were evaluated longest ago.
        """
        names = (
            name
            for name, item in self._by_name.items()
            if item.valid_until_ms <= wall_ms
        )
        return list(islice(names, EXPIRED_MAX))
