"""The scheduler's side of one executor: its lease, its orders and its reports."""

import attrs

from ..journal import event, note
from .lease import Lease
from .reports import LeaseReport, OrderResult

RENEW_WAIT_MS = 1000  # a quarter of the lease, so that three renewals may be lost
LOOK_WAIT_MS = 250  # while a task comes up or is paced: executors measure each 500 ms
UNSTORED_S = 1.0  # ends that cannot be stored must not hold up the lease
RETRY_S = 0.2
RESEND_S = 0.1
STOP_REPEAT_S = 0.5


@event(605)
class ExecutorReachable:
    """An executor answers again, or no longer."""

    executor: str
    reachable: bool
    detail: str


@event(606)
class ExecutorOver:
    """An executor surely runs nothing any more; its runs are taken as lapsed."""

    executor: str
    runs: int
    why: str


@event(607)
class OrderAnswered:
    """The answer to an order that was not simply taken."""

    executor: str
    order: str
    task: str
    run: int
    result: str


@event(608)
class StrayRun:
    """An executor shows a run that this scheduler does not know; it is stopped."""

    executor: str
    task: str
    run: int


@event(609)
class RunMissing:
    """An executor neither runs nor lists as ended a run that it should have."""

    executor: str
    task: str
    run: int


@attrs.define(eq=False)
class _Sent:
    """A start on its way; ``taken_at`` is set once the executor confirmed it.

    ``unsure`` tells that an earlier attempt had no answer and may have arrived.
    """

    order: object
    taken_at: float | None = None
    deadline_ms: int = 0
    unsure: bool = False


class ExecutorAgent:
    """Keeps one executor's lease while it holds runs.

    ``hub`` is told of what happens: ``on_ends``, ``on_over``, ``on_lapsed``,
    ``on_withdraw``, ``on_missing``, ``on_unhealthy``, ``on_heard``, ``on_fenced``; and
    ``on_loads`` returns whether to look more often. ``inherited`` tells that another
    scheduler may have started runs here.
    """

    def __init__(self, loop, client, executor, hub, inherited, lease_ms):
        self._loop = loop
        self._client = client
        self._executor = executor
        self._hub = hub
        self._lease = Lease(loop.now(), executor.entry.clock_ms, lease_ms)
        held = executor.holdings.items() if inherited else ()
        self._inherited = {(task, item.run) for task, item in held}
        self._sent = {}
        self._stopping = {}
        self._seen = 0
        self._taken_to = 0
        self._told = 0
        self._renewing = False
        self._renewed_at = loop.now()
        self._retry = None
        self._wait_ms = RENEW_WAIT_MS
        self._closed = False

    @property
    def name(self):
        """The id of the executor's life."""
        return self._executor.name

    def close(self):
        """Send nothing more."""
        self._closed = True
        self._client.close()

    def wake(self):
        """Renew the lease if runs need it and no renewal is under way.

        An executor answers at once while it lists ends that were not acknowledged, so
        the next renewal waits until they are stored.
        """
        if self._renewing or self._closed or not self._needed():
            return
        unstored = self._seen < self._taken_to
        if not unstored or self._loop.now() - self._renewed_at >= UNSTORED_S:
            self._renew()
        elif self._retry is None:
            self._retry = self._loop.call_later(UNSTORED_S, self._wake_again)

    def _wake_again(self):
        self._retry = None
        self.wake()

    def _needed(self):
        executor = self._executor
        probing = executor.silent and executor.listed
        unacknowledged = self._told < self._taken_to
        return bool(executor.holdings) or unacknowledged or probing

    def ends_stored(self, number):
        """Take note that ends up to ``number`` are stored."""
        self._seen = max(self._seen, number)
        self.wake()

    # Renewals

    def _renew(self):
        self._renewing = True
        now = self._renewed_at = self._loop.now()
        seen = self._seen
        waits = (
            self._executor.holdings
            and not self._executor.silent
            and not self._inherited
        )
        wait_ms = self._wait_ms if waits else 0
        deadline = None if self._executor.silent else self._lease.grant(now)
        if not self._executor.holdings:
            deadline = None

        def done(report):
            self._renewing = False
            if isinstance(report, LeaseReport):
                self._told = max(self._told, seen)
            if not self._closed:
                self._on_report(report, now)

        self._client.renew(deadline, seen, wait_ms, done)

    def _on_report(self, report, sent_at):
        now = self._loop.now()
        if isinstance(report, LeaseReport):
            self._lease.heard(now, report.clock_ms)
            if self._executor.silent:
                self._executor.silent = False
                note(ExecutorReachable(self.name, True, ""))
                self._hub.on_heard(self.name)
            self._take_ends(report)
            self._compare(report, sent_at)
            self._inherited.clear()
            self.wake()
            return
        if report.result is OrderResult.FENCED:
            self._hub.on_fenced(self.name)
            return
        if report.result is OrderResult.WRONG_LIFE:
            self._over("another life answers at its address")
            return
        if not self._executor.silent:
            self._executor.silent = True
            note(ExecutorReachable(self.name, False, report.result.value))
        if self._lease.surely_lapsed(now) and self._executor.holdings:
            self._lapse()
        self._loop.call_later(RETRY_S, self.wake)

    def _lapse(self):
        note(ExecutorOver(self.name, len(self._executor.holdings), "its lease lapsed"))
        self._sent.clear()
        self._stopping.clear()
        self._hub.on_lapsed(self.name)

    def _over(self, why):
        if not self._closed:
            note(ExecutorOver(self.name, len(self._executor.holdings), why))
            self._hub.on_over(self.name)

    def _take_ends(self, report):
        fresh = [item for item in report.ended if item.number > self._taken_to]
        if fresh:
            self._taken_to = max(item.number for item in fresh)
            for item in fresh:
                self._sent.pop((item.task, item.run), None)
                self._stopping.pop((item.task, item.run), None)
            self._hub.on_ends(self.name, fresh)

    def _compare(self, report, sent_at):
        """Settle what the executor runs against what it should run."""
        shown = {(item.task, item.run) for item in report.running}
        held = self._executor.holdings
        for task, run in shown:
            holding = held.get(task)
            if holding is None or holding.run != run:
                note(StrayRun(self.name, task, run))
                self.stop(task, run)
        for task, holding in list(held.items()):
            if (task, holding.run) in shown:
                continue
            sent = self._sent.get((task, holding.run))
            if (task, holding.run) in self._inherited:
                self._hub.on_withdraw(self.name, task, holding.run)
            elif sent is not None and sent.taken_at and sent.taken_at < sent_at:
                note(RunMissing(self.name, task, holding.run))
                self._sent.pop((task, holding.run))
                self._hub.on_missing(self.name, task, holding.run)
        watched = self._hub.on_loads(self.name, report.running)
        self._wait_ms = LOOK_WAIT_MS if watched else RENEW_WAIT_MS

    # Orders

    def start(self, order):
        """Send a start that is stored."""
        sent = _Sent(order)
        self._sent[order.task, order.run] = sent
        self._send_start(sent)
        self.wake()

    def _send_start(self, sent):
        order = sent.order
        if self._closed or self._sent.get((order.task, order.run)) is not sent:
            return
        if not sent.deadline_ms:
            sent.deadline_ms = self._lease.grant(self._loop.now())

        def done(answer):
            if not self._closed:
                self._on_started(sent, answer)

        self._client.start(order, sent.deadline_ms, done)

    def _on_started(self, sent, answer):
        order, result = sent.order, answer.result
        now = self._loop.now()
        self._lease.heard(now, answer.clock_ms)
        if result is OrderResult.TAKEN:
            sent.taken_at = now
            return
        note(OrderAnswered(self.name, "start", order.task, order.run, result.value))
        if result is OrderResult.FENCED:
            self._hub.on_fenced(self.name)
        elif result is OrderResult.WRONG_LIFE:
            self._over("another life answers at its address")
        elif result is OrderResult.OUTDATED:
            sent.taken_at = now
        elif sent.unsure or result in (OrderResult.NO_ANSWER, OrderResult.LATE):
            if result is OrderResult.LATE:
                sent.deadline_ms = 0
            elif result is OrderResult.NO_ANSWER:
                sent.unsure = True
            self._loop.call_later(RESEND_S, lambda: self._send_start(sent))
        elif self._sent.pop((order.task, order.run), None) is not None:
            self._hub.on_withdraw(self.name, order.task, order.run)
            self._hub.on_unhealthy(self.name)

    def stop(self, task, run):
        """Stop a run, and again until its end is listed."""
        if (task, run) not in self._stopping:
            self._stopping[task, run] = True
            self._send_stop(task, run)

    def _send_stop(self, task, run):
        if self._closed or (task, run) not in self._stopping:
            return

        def done(answer):
            self._lease.heard(self._loop.now(), answer.clock_ms)
            holding = self._executor.holdings.get(task)
            if holding is None or holding.run != run:
                self._stopping.pop((task, run), None)
            elif answer.result is OrderResult.FENCED:
                self._hub.on_fenced(self.name)
            elif answer.result is OrderResult.TAKEN:
                self._never_ran(task, run)
                later()
            else:
                later()

        def later():
            if not self._closed:
                self._loop.call_later(STOP_REPEAT_S, lambda: self._send_stop(task, run))

        self._client.stop(_Run(task, run), done)
        self.wake()

    def _never_ran(self, task, run):
        """A start without an answer is refused by now if it did not arrive."""
        sent = self._sent.get((task, run))
        if sent is not None and sent.taken_at is None:
            sent.taken_at = self._loop.now()

    def pace(self, order, on_done):
        """Send a pace."""
        self._client.pace(order, on_done)


@attrs.frozen
class _Run:
    task: str
    run: int
