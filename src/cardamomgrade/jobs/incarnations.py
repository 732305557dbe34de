"""Applies executors' registrations, and restarts of executors under their id.

Load pattern: executors fail and start again within a second, while hundreds of starts a
second are on their way; records and answers of the earlier incarnation arrive late.

An incarnation is identified by ``born``. One that starts later than the known one
proves that the known one is over; an earlier one only shows that a message is late. A
start that the known incarnation did not certainly get may have been received by the
later one, which is asked about it.
"""

import time

import attrs

from ..errors import RecordError
from ..journal import event, log_event
from .reports import LossCause

LINE_INTERVAL_S = 5.0  # a faulty writer may write hundreds of records a second
CLOCK_ERROR_MAX_MS = 24 * 3_600_000  # by which the wall clocks of machines may differ
MS = 1000


@event(613)
class EntryUnreadable:
    """An executor's registration defines no usable executor.

    ``others`` counts those since the previous line that were not logged.
    """

    executor: str
    detail: str
    others: int


@event(646)
class IncarnationBegun:
    """An executor started again under its id; its earlier incarnation is over.

    ``over`` counts the runs that ended with it, ``unsettled`` those that the new
    incarnation may have received. ``registered`` is false if an answer showed it.
    """

    executor: str
    born: int
    earlier: int
    over: int
    unsettled: int
    registered: bool


def is_later(born, known):
    """Return whether ``born`` is of a later incarnation; 0 is of the known one."""
    return 0 < known < born


def is_earlier(born, known):
    """Return whether ``born`` is of an earlier incarnation; 0 is of the known one."""
    return 0 < born < known


class Registrations:
    """Keeps executors and agents of one term in step with the incarnations.

    ``decode(name, value)`` returns an ExecutorEntry or raises RecordError. ``agents``
    maps the name of each known executor to its agent; ``add_agent(name)`` puts a new
    one there. ``incarnations`` are the term's Incarnations.

    Remembers the latest ``born`` of each id until the term ends, so that a late record
    does not bring back an executor that was forgotten.
    """

    def __init__(self, loop, decode, scheduler, agents, add_agent, incarnations):
        self._loop = loop
        self._decode = decode
        self._scheduler = scheduler
        self._agents = agents
        self._add_agent = add_agent
        self._incarnations = incarnations
        self._latest_born = {}
        self._logged_at = float("-inf")
        self._not_logged = 0

    def apply(self, name, value):
        """Apply a registration, or its deletion if ``value`` is empty."""
        if not value:
            self._scheduler.unlist_executor(name)
            return
        try:
            entry = self._decode(name, value)
        except RecordError as exc:
            self._log_unusable(name, str(exc))
            self._scheduler.unlist_executor(name)
            return
        if entry.born > time.time() * MS + CLOCK_ERROR_MAX_MS:
            # It would outrank every true one; the incarnation's answers show its own.
            entry = attrs.evolve(entry, born=0)
        known = self._scheduler.executors.get(name)
        latest = self._latest_born.get(name, 0)
        if known is not None:
            latest = max(latest, known.entry.born)
        if is_earlier(entry.born, latest):
            self._log_unusable(name, f"born {entry.born}: {latest} is known")
            return
        self._latest_born[name] = max(latest, entry.born)
        if self._scheduler.cfg.service(entry.service) is None:
            self._log_unusable(name, f"service {entry.service!r} is not configured")
        if known is not None and is_later(entry.born, known.entry.born):
            self._begin(known, entry, registered=True)
        else:
            if known is None and is_later(entry.born, latest):
                self._incarnations.begin(name, self._loop.now())
            self._update(known, attrs.evolve(entry, born=entry.born or latest))

    def _update(self, known, entry):
        name = entry.executor
        was_listed = known is not None and known.listed
        has_moved = (
            known is not None
            and entry.born > 0
            and known.entry.address != entry.address
        )
        self._scheduler.put_executor(entry)
        if known is None:
            if entry.born:
                self._scheduler.convict(name, entry.born)
            self._add_agent(name)
        elif has_moved:
            agent = self._agents[name]
            agent.close()
            self._add_agent(name)
            self._agents[name].replace(agent)
        if not was_listed:
            self._agents[name].renew_if_needed()

    def on_answer(self, name, born, clock_ms):
        """Begin the later incarnation that answered before its registration was read.

        It gets no new runs until then, as its capacity is not known.
        """
        executor = self._scheduler.executors[name]
        entry = attrs.evolve(
            executor.entry, born=born, clock_ms=clock_ms, draining=True
        )
        self._latest_born[name] = born
        self._begin(executor, entry, registered=False)

    def _begin(self, executor, entry, registered):
        name, was_listed = entry.executor, executor.listed
        agent = self._agents[name]
        agent.close()
        unsettled = agent.unsettled_runs()
        placed = {(task, item.run) for task, item in executor.allocations.items()}
        over = placed - unsettled
        log_event(
            IncarnationBegun(
                name,
                entry.born,
                executor.entry.born,
                len(over),
                len(placed & unsettled),
                registered,
            )
        )
        now_ms = self._loop.now() * MS
        begun = agent.begun_runs()
        self._scheduler.lose_runs(name, dict(over), LossCause.CRASHED, now_ms, begun)
        self._scheduler.convict(name, entry.born)
        executor.unreachable = False
        self._scheduler.reset_executor(name)
        self._scheduler.put_executor(entry)
        executor.listed = registered or was_listed
        self._incarnations.begin(name, self._loop.now())
        self._add_agent(name)
        self._agents[name].succeed(agent)

    def _log_unusable(self, name, detail):
        now = self._loop.now()
        if now - self._logged_at < LINE_INTERVAL_S:
            self._not_logged += 1
            return
        others, self._not_logged = self._not_logged, 0
        self._logged_at = now
        log_event(EntryUnreadable(name, detail, others))
