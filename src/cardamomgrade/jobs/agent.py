"""Scheduler side of one executor: renews its lease, sends orders, reads reports.

An agent belongs to one incarnation of its executor. A restart is a new incarnation,
under a new id or under the same id with a higher ``born``, and gets a new agent.
"""

import attrs

from ..journal import event, log_event
from .incarnations import is_earlier, is_later
from .lease import lapse_bound_s, Lease
from .liveness import FRESH_S, HEARD_S, Liveness
from .reports import LeaseReport, LossCause, OrderAnswer, OrderResult
from .starts import PendingStart

RENEW_WAIT_MS = 1000  # a quarter of the lease, so that three renewals may fail
ENDING_WAIT_MS = 400  # while tasks run that end: a lost answer delays what follows
WATCHED_WAIT_MS = 250  # while a task starts or is paced; executors measure each 500 ms
WITHHELD_WAIT_MS = 500  # so that the lease is granted soon after the store is back
SETTLING_WAIT_MS = 50  # while it is not known whether a start reached an incarnation
JUST_ANSWERED_S = 0.05  # no executor starts again and ends a run in this time
UNSTORED_ENDS_WAIT_S = 1.0  # renew then, even if ends are not stored yet
RENEW_RETRY_S = 0.2
START_RETRY_S = 0.1
STOP_RETRY_S = 0.5
MS = 1000


@event(605)
class ExecutorReachable:
    """An executor answers renewals again, or no longer does."""

    executor: str
    reachable: bool
    detail: str


@event(606)
class ExecutorOver:
    """An executor certainly runs nothing any more; its runs are marked as lapsed.

    ``granted_ms`` and ``answered_ms`` are the ms since this scheduler counts its lease
    as granted and since the incarnation answered; -1 if it never did.
    """

    executor: str
    runs: int
    why: str
    born: int
    granted_ms: int
    answered_ms: int


@event(607)
class OrderAnswered:
    """An executor refused a start order, or gave no answer to it.

    ``attempt`` counts the times that the order was sent, or was about to be; ``detail``
    says how one without an answer was sent.
    """

    executor: str
    order: str
    task: str
    run: int
    result: str
    attempt: int
    detail: str


@event(608)
class StrayRun:
    """An executor reports a run that this scheduler does not know; it is stopped."""

    executor: str
    task: str
    run: int


@event(609)
class RunMissing:
    """A run that an executor accepted is reported neither as running nor as ended."""

    executor: str
    task: str
    run: int


@event(655)
class EndsUnread:
    """An incarnation lists ends from number ``first`` on; ``after`` was the last read.

    Those in between were forgotten by an acknowledgement that this agent did not send.
    """

    executor: str
    born: int
    after: int
    first: int


class ExecutorAgent:
    """Sends orders to one executor and renews its lease while it has runs.

    ``driver`` has the callbacks ``on_runs_ended``, ``on_executor_gone``,
    ``on_lease_lapsed``, ``on_run_begun``, ``on_start_checked``, ``on_start_absent``,
    ``on_run_withdrawn``, ``on_run_missing``, ``on_start_refused``, ``on_reachable``,
    ``on_unreachable``, ``on_incarnation``, ``on_cleared`` and ``on_fenced``, and
    ``on_running``, which returns whether to request reports more often. Leases are
    granted only while its ``may_grant()`` is true, since a successor that cannot reach
    an executor counts its lease from the start of its own term. ``inherited`` is
    whether an earlier scheduler placed the runs that are on the executor now.
    ``incarnation`` is its Incarnation, which is asked for a report until it is fenced,
    also without runs. ``max_lease_ms`` is the longest lease that it accepts. While
    ``silences`` (SilentExecutors) may have a record of the executor, no request grants
    the lease. ``client`` has ``reaches_same_process``, whether a renewal sent now
    reaches the process that answered the last one, or none, and ``keeps_connections``,
    whether the executor left the connection open after its last answer; they are read
    only for executors whose ``born`` is known.

    Ends of runs are numbered. They are acknowledged to the executor once stored:
    ``_received_end`` >= ``_stored_end`` >= ``_acknowledged_end``.
    """

    def __init__(
        self,
        loop,
        client,
        executor,
        driver,
        silences,
        inherited,
        lease_ms,
        max_lease_ms,
        incarnation,
    ):
        self._loop = loop
        self._client = client
        self._executor = executor
        self._driver = driver
        self._silences = silences
        self._incarnation = incarnation
        executor.unfenced = not incarnation.is_fenced(loop.now())
        self._lease = Lease(
            loop.now(),
            executor.entry.clock_ms,
            self._incarnation,
            lease_ms,
            max_lease_ms,
            silences.granted_at(executor.name),
        )
        self._lease_ms = lease_ms
        placed = executor.allocations.items() if inherited else ()
        self._inherited = {(task, item.run) for task, item in placed}
        self._starts = {}
        self._stopping = {}
        self._stored_end = 0
        self._received_end = 0
        self._knows_ends = False
        self._acknowledged_end = 0
        self._renewing = False
        self._has_missed = False
        self._renewed_at = loop.now()
        self._retry = None
        self._wait_ms = RENEW_WAIT_MS
        self._answered = False
        self._proven_at = self._proven_boot_at = float("-inf")
        self._liveness = Liveness(loop, self._ask)
        self._closed = False
        if self._has_silence_record():
            self._mark_unreachable("it was silent before")

    def replace(self, other):
        """Watch the runs of a closed agent of the same scheduler and executor.

        Its start orders may still take effect until their lease deadlines.
        """
        now = self._loop.now()
        started_by = now + lapse_bound_s(self._lease_ms)
        for run in other._inherited:
            self._starts[run] = PendingStart(None, started_by, attempt_ended_at=now)
        for run, pending in other._starts.items():
            self._starts[run] = pending.replaced(started_by, now)
        self._inherited.clear()
        for task, run in other._stopping:
            self.stop(task, run)
        self.renew_if_needed()

    def begun_runs(self):
        """Return the runs, (task, run), that its incarnation may have begun.

        Starts that wait for their records, or that it certainly did not get, are not
        among them.
        """
        return self._inherited | {
            run for run, pending in self._starts.items() if pending.may_have_begun
        }

    def unsettled_runs(self):
        """Return the runs, (task, run), that a later incarnation may have received.

        Runs that an earlier scheduler placed are among them, as their records do not
        tell on which incarnation.
        """
        now = self._loop.now()
        return self._inherited | {
            run
            for run, pending in self._starts.items()
            if not (pending.is_unreceived or pending.is_settled(self._proven_at, now))
        }

    def succeed(self, other):
        """Take over the unsettled runs of the closed agent of an earlier incarnation.

        The other runs must be over. The next report settles those that were accepted;
        of the others, those that it lacks are stopped first, as they may still arrive.
        """
        now = self._loop.now()
        placed = {(task, item.run) for task, item in self._executor.allocations.items()}
        self._inherited = other._inherited & placed
        for run in placed - self._inherited:
            self._starts[run] = other._starts[run].handed_over(now)
        for task, run in other._stopping:
            if (task, run) in placed:
                self.stop(task, run)
        self._knows_ends = True
        self.renew_if_needed()

    @property
    def name(self):
        """The id of the executor."""
        return self._executor.name

    def close(self):
        """Stop renewals and orders, and drop the connections."""
        self._closed = True
        self._client.close()

    def renew_if_needed(self):
        """Renew the lease if it is needed and no renewal is in flight.

        An executor answers at once while it has ends that are not acknowledged, so the
        next renewal waits until they are stored, but at most UNSTORED_ENDS_WAIT_S.
        """
        if self._renewing or self._closed or not self._needs_renewal():
            return
        unstored = self._stored_end < self._received_end
        if not unstored or self._loop.now() - self._renewed_at >= UNSTORED_ENDS_WAIT_S:
            self._renew()
        elif self._retry is None:
            self._retry = self._loop.call_later(UNSTORED_ENDS_WAIT_S, self._on_retry)

    def _on_retry(self):
        self._retry = None
        self.renew_if_needed()

    def _needs_renewal(self):
        executor = self._executor
        is_probe = executor.unreachable and executor.listed
        unacknowledged = self._acknowledged_end < self._received_end
        is_fenced = self._incarnation.is_fenced(self._loop.now())
        is_needed = executor.allocations or unacknowledged or executor.suspect
        return bool(is_needed or is_probe or not is_fenced)

    def asked_at(self, executor):
        """Return when an Executor was last asked for a report, or -inf if never."""
        return self._renewed_at if executor is self._executor else float("-inf")

    @property
    def finished(self):
        """Whether the executor has no runs and no ends that can be acknowledged.

        An executor that has not answered for the length of a lease does not count as
        one whose ends can be.
        """
        executor = self._executor
        if executor.allocations:
            return False
        is_lost = executor.unreachable and self._lease.has_lapsed(self._loop.now())
        return is_lost or self._acknowledged_end >= self._received_end

    def acknowledge_ends(self, number):
        """Acknowledge ends up to ``number``, which are stored, at the next renewal."""
        self._stored_end = max(self._stored_end, number)
        self.renew_if_needed()

    # Renewals

    def _renew(self):
        self._renewing = True
        now = self._renewed_at = self._loop.now()
        boot_now = self._loop.boot_now()
        is_same = self._reaches_same_incarnation(boot_now)
        # Repeated, it could forget ends of the next incarnation that nobody has read.
        is_new = self._stored_end > self._acknowledged_end
        stored_end = self._stored_end if is_same and is_new else 0
        may_wait = (
            self._executor.allocations
            and is_same
            and not self._executor.unreachable
            and not self._inherited
            and self._lease.knows_clock(now)
        )
        to_grant = self._executor.allocations and not self._executor.unreachable
        may_grant = to_grant and is_same and self._may_grant()
        deadline = self._lease.grant(now) if may_grant else None
        wait_ms = self._wait_ms if may_wait and not self._has_missed else 0
        if len(self._executor.allocations) > self._executor.lasting_runs:
            wait_ms = min(wait_ms, ENDING_WAIT_MS)
        if any(pending.is_unanswered for pending in self._starts.values()):
            wait_ms = min(wait_ms, SETTLING_WAIT_MS)
        if to_grant and deadline is None:
            wait_ms = min(wait_ms, WITHHELD_WAIT_MS)

        def done(report):
            self._renewing = False
            report = self._check_incarnation(report)
            if isinstance(report, LeaseReport):
                self._acknowledged_end = max(self._acknowledged_end, stored_end)
                self._proven_boot_at = boot_now
            if not self._closed:
                self._on_report(report, now)

        self._client.renew(deadline, stored_end, wait_ms, done, self._may_repeat)

    @property
    def _may_repeat(self):
        """Whether a renewal without an answer is repeated before it means anything."""
        is_known = self._answered and not self._executor.unreachable
        return is_known and not self._has_missed

    def _reaches_same_incarnation(self, boot_now):
        """Return whether a renewal sent now can reach no later incarnation.

        That one would take the acknowledgement for its own ends, and forget them
        before anyone has read them, and the deadline for a time of its own clock. Of a
        server that closes each connection itself, a recent answer is enough. It is as
        old as its request, since it may have waited for this process. A connection that
        is closed otherwise may have been closed by a restart.
        """
        if not self._executor.entry.born or self._client.reaches_same_process:
            return True
        if self._client.keeps_connections:
            return False
        return boot_now - self._proven_boot_at < JUST_ANSWERED_S

    def _ask(self, on_done=None):
        """Request a report beside the renewals; ``on_done`` gets it unless closed."""

        def done(report):
            report = self._check_incarnation(report)
            if self._closed:
                return
            if isinstance(report, LeaseReport):
                self._on_fenced()
            if on_done is not None:
                on_done(report)

        self._client.ask(done)

    def _check_clock(self, answer, min_clock_ms):
        """Return an answer to an order, without the clock of a later incarnation.

        Such answers do not tell ``born``, but a clock that starts anew is below
        ``min_clock_ms``, the lowest that this incarnation's may show. What the order
        started there has the longest lease.
        """
        is_known = self._executor.entry.born and answer.clock_ms
        if self._closed or not is_known or answer.clock_ms >= int(min_clock_ms):
            return answer
        self._incarnation.doubt(self._loop.now())
        self._ask()
        return attrs.evolve(answer, clock_ms=0)

    def _check_incarnation(self, answer):
        """Return an answer, or one of NO_ANSWER in place of an earlier incarnation's.

        An answer of a later incarnation makes the driver close this agent.
        """
        known = self._executor.entry.born
        if self._closed or answer.born in (0, known):
            return answer
        if is_earlier(answer.born, known):
            is_fenced = getattr(answer, "result", None) is OrderResult.FENCED
            return answer if is_fenced else OrderAnswer(OrderResult.NO_ANSWER)
        if is_later(answer.born, known):
            self._driver.on_incarnation(self.name, answer.born, answer.clock_ms)
        else:
            entry = self._executor.entry
            self._executor.entry = attrs.evolve(entry, born=answer.born)
            # Until now nothing told that its id may have had a former incarnation.
            self._incarnation.doubt(self._loop.now())
        return answer

    def _on_report(self, report, sent_at):
        now = self._loop.now()
        if isinstance(report, LeaseReport):
            self._on_fenced()
            self._lease.update_clock(now, report.clock_ms)
            self._liveness.record_answer()
            if self._executor.suspect:
                self._driver.on_cleared(self.name)
            self._answered = True
            self._has_missed = False
            self._proven_at = sent_at
            if self._executor.unreachable or self._has_silence_record():
                self._silences.clear(self.name, self._on_silence_cleared)
            self._process_ends(report)
            self._reconcile(report, sent_at)
            if not report.more_ends:
                self._inherited.clear()
            if self._has_silence_record():
                self._loop.call_later(RENEW_RETRY_S, self.renew_if_needed)
            else:
                self.renew_if_needed()
            return
        if report.result is OrderResult.NO_ANSWER and self._may_repeat:
            # Only the answer may be lost; what has ended is asked for at once.
            self._has_missed = True
            self._renew()
            return
        self._on_silent(report.result)

    def _on_silent(self, result):
        """Give no new runs to an executor whose answer was no report."""
        now = self._loop.now()
        self._answered = False
        if result is OrderResult.FENCED:
            self._driver.on_fenced(self.name)
            return
        # Where ids outlive incarnations, the address of the registration may be older
        # than the incarnation that an earlier scheduler placed runs on.
        may_be_elsewhere = self._executor.entry.born and self._inherited
        if result is OrderResult.WRONG_LIFE and not may_be_elsewhere:
            self._report_gone("another incarnation answers at its address")
            return
        was_unreachable = self._executor.unreachable
        if not was_unreachable:
            self._mark_unreachable(result.value)
        if self._executor.allocations:
            if self._lease.has_lapsed(now):
                self._report_lapsed()
            elif was_unreachable:
                # One lost answer is not worth a record.
                self._silences.note(self.name, self._lease.granted_at)
        self._loop.call_later(RENEW_RETRY_S, self.renew_if_needed)

    def _on_fenced(self):
        """Take new runs: the incarnation has answered a call with its own token."""
        self._incarnation.fence(self._loop.now())
        if self._executor.unfenced:
            self._executor.unfenced = False
            self._driver.on_reachable(self.name)

    def _has_silence_record(self):
        return self._silences.granted_at(self.name) is not None

    def _may_grant(self):
        return not self._has_silence_record() and self._driver.may_grant()

    def _mark_unreachable(self, why):
        now = self._loop.now()
        self._executor.unreachable = True
        log_event(ExecutorReachable(self.name, False, why))
        self._driver.on_unreachable(self.name)
        # A new scheduler may find the lease over; the executor may answer even so.
        self._check_lapsed_in(max(RENEW_RETRY_S, self._lease.lapses_in(now)))

    def _check_lapsed_in(self, seconds, last_check=False):
        """Report the lapse when it is certain, even while a renewal has no answer.

        After a delay of this process an answer may wait in the socket's buffer, so that
        sockets are read once more before.
        """

        def check():
            if self._closed or self._answered or not self._executor.unreachable:
                return
            wait_s = self._lease.lapses_in(self._loop.now())
            if wait_s > 0:
                self._check_lapsed_in(wait_s)
            elif not last_check:
                self._check_lapsed_in(0, True)
            elif self._executor.allocations:
                self._report_lapsed()

        self._loop.call_later(seconds, check)

    def _on_silence_cleared(self):
        """Grant the lease again, unless the executor fell silent in the meantime."""
        if self._answered and self._executor.unreachable and not self._closed:
            self._executor.unreachable = False
            log_event(ExecutorReachable(self.name, True, ""))
            self._driver.on_reachable(self.name)
            self._loop.call_later(0, self.renew_if_needed)

    def _log_over(self, why):
        now, executor = self._loop.now(), self._executor
        never = self._proven_at == float("-inf")
        log_event(
            ExecutorOver(
                self.name,
                len(executor.allocations),
                why,
                executor.entry.born,
                int((now - self._lease.granted_at) * MS),
                -1 if never else int((now - self._proven_at) * MS),
            )
        )

    def _report_lapsed(self):
        self._log_over("its lease lapsed")
        self._driver.on_lease_lapsed(self.name)
        self._starts.clear()
        self._stopping.clear()

    def _report_gone(self, why):
        if not self._closed:
            self._log_over(why)
            self._driver.on_executor_gone(self.name, LossCause.CRASHED)

    def _process_ends(self, report):
        new_ends = [item for item in report.ended if item.number > self._received_end]
        if new_ends:
            first = min(item.number for item in new_ends)
            if self._knows_ends and first > self._received_end + 1:
                born = self._executor.entry.born
                log_event(EndsUnread(self.name, born, self._received_end, first))
            self._received_end = max(item.number for item in new_ends)
            for item in new_ends:
                self._starts.pop((item.task, item.run), None)
                self._stopping.pop((item.task, item.run), None)
            self._driver.on_runs_ended(self.name, new_ends)
        self._knows_ends = True

    def _reconcile(self, report, sent_at):
        """Compare the runs that the executor reports with those placed on it."""
        reported = {(item.task, item.run) for item in report.running}
        placed = self._executor.allocations
        for task, run in reported:
            allocation = placed.get(task)
            if allocation is None or allocation.run != run:
                log_event(StrayRun(self.name, task, run))
                self.stop(task, run)
        # With more ends to come, the end of an absent run may be among them.
        doubtful = () if report.more_ends else list(placed.items())
        for task, allocation in doubtful:
            is_inherited = (task, allocation.run) in self._inherited
            if (task, allocation.run) in reported:
                if is_inherited:
                    accepted = PendingStart(None, sent_at, attempt_ended_at=sent_at)
                    self._starts[task, allocation.run] = accepted
                if (task, allocation.run) in self._starts:
                    self._starts[task, allocation.run].report(sent_at)
                    self._confirm(task, allocation.run)
                continue
            pending = self._starts.get((task, allocation.run))
            if is_inherited and self._executor.entry.born:
                # An earlier incarnation may have had it.
                self._driver.on_run_missing(self.name, task, allocation.run)
            elif is_inherited:
                self._driver.on_run_withdrawn(self.name, task, allocation.run)
            elif pending is not None and pending.checked and pending.is_absent(sent_at):
                pending.checked = False
                self._driver.on_start_absent(task, allocation.run)
            elif pending is not None and pending.is_unanswered:
                # It may still arrive, until the executor has taken an order to stop it.
                self.stop(task, allocation.run)
            elif (
                pending is not None
                and pending.accepted_at
                and pending.accepted_at < sent_at
            ):
                log_event(RunMissing(self.name, task, allocation.run))
                self._starts.pop((task, allocation.run))
                self._driver.on_run_missing(self.name, task, allocation.run)
        watch_closely = self._driver.on_running(self.name, report.running)
        self._wait_ms = WATCHED_WAIT_MS if watch_closely else RENEW_WAIT_MS

    def _confirm(self, task, run):
        pending = self._starts[task, run]
        if not pending.confirmed:
            pending.confirmed = True
            self._driver.on_run_begun(task, run)

    # Orders

    def start(self, order):
        """Send a Start order, which must be stored already.

        It is withdrawn if the lease may not be granted, or if the executor does not
        answer a check, which repeated runs and executors that were not heard of need.
        """
        if self._has_silence_record():
            self._driver.on_run_withdrawn(self.name, order.task, order.run)
            return
        pending = PendingStart(order)
        self._starts[order.task, order.run] = pending
        self._send_start(pending)
        self.renew_if_needed()

    def _send_start(self, pending):
        order = pending.order
        run = (order.task, order.run)
        if self._closed or self._starts.get(run) is not pending:
            return
        if run in self._stopping or pending.reported:
            return  # the stop settles whether it runs, or it does
        if self._executor.overcommitted:
            self._give_up_start(pending)
            return
        if not self._may_send_start(pending):
            self._loop.call_later(START_RETRY_S, lambda: self._send_start(pending))
            return
        if self._must_check(pending):
            self._check(pending)
            return
        if not pending.deadline_ms:
            pending.deadline_ms = self._lease.grant(self._loop.now())
        if pending.checked:
            self._driver.on_start_checked(order.task, order.run)

        min_clock_ms = self._lease.min_clock_ms(self._loop.now())

        def done(answer):
            if self._closed:
                return
            born = self._executor.entry.born
            answer = self._check_clock(answer, min_clock_ms)
            pending.attempt_ended_at = self._loop.now()
            if answer.result is OrderResult.TAKEN and answer.born >= born > 0:
                # By a later incarnation too, which is asked for its runs then.
                pending.accept(self._loop.now())
                pending.settled = answer.born == born
            answer = self._check_incarnation(answer)
            if not self._closed:
                self._on_started(pending, answer)

        pending.attempt_ended_at = None
        pending.attempts += 1
        self._client.start(order, pending.deadline_ms, done)

    def _must_check(self, pending):
        if pending.maybe_received:
            return False
        pending.checked = self._liveness.has_answered(FRESH_S)
        is_first = pending.order.run == 1
        may_skip = is_first and self._liveness.has_answered(HEARD_S)
        return not (pending.checked or may_skip)

    def _check(self, pending):
        def done(report, in_time):
            if isinstance(report, LeaseReport) and in_time:
                self._liveness.record_answer()
                self._send_start(pending)
            elif isinstance(report, LeaseReport):
                self._check(pending)
            else:
                if self._starts.get((pending.order.task, pending.order.run)) is pending:
                    self._give_up_start(pending)
                if not (self._closed or self._executor.unreachable):
                    self._on_silent(report.result)

        self._liveness.check(done)

    def check_alive(self):
        """Ask whether a reachable executor lives, unless it was just heard of."""
        if self._closed or self._executor.unreachable:
            return
        if self._liveness.has_answered(HEARD_S):
            return

        def done(report, in_time):
            if isinstance(report, LeaseReport):
                self._liveness.record_answer()
            elif not (self._closed or self._executor.unreachable):
                self._on_silent(report.result)

        self._liveness.check(done)

    def _give_up_start(self, pending):
        """Withdraw a start, or stop its run if it may have been received."""
        order = pending.order
        if pending.maybe_received:
            self.stop(order.task, order.run)
        else:
            del self._starts[order.task, order.run]
            self._driver.on_run_withdrawn(self.name, order.task, order.run)

    def _may_send_start(self, pending):
        """Return whether a start may be sent now, for the first time or again.

        An incarnation that has just begun knows no successor's epoch, so that it would
        accept a start that is repeated after the successor gave the run up.
        """
        if not pending.deadline_ms:
            return self._may_grant()
        return not self._executor.entry.born or self._driver.may_grant()

    def _on_started(self, pending, answer):
        order, result = pending.order, answer.result
        now = self._loop.now()
        self._lease.update_clock(now, answer.clock_ms)
        if result is OrderResult.TAKEN:
            pending.accept(now)
            self._liveness.record_answer()
            if self._starts.get((order.task, order.run)) is pending:
                self._confirm(order.task, order.run)
            return
        # The run that is reported proves that the only attempt has been carried out.
        is_first = not pending.maybe_received
        if result is OrderResult.NO_ANSWER and not (pending.reported and is_first):
            pending.give_up_attempt(now)
        run = (order.task, order.run)
        attempt, detail = pending.attempts, answer.detail
        log_event(
            OrderAnswered(self.name, "start", *run, result.value, attempt, detail)
        )
        if result is OrderResult.FENCED:
            self._driver.on_fenced(self.name)
        elif result is OrderResult.WRONG_LIFE:
            self._report_gone("another incarnation answers at its address")
        elif result is OrderResult.OUTDATED:
            pending.accept(now)
        elif pending.reported:
            pass  # a repetition could only reach the next incarnation
        elif pending.maybe_received or result in (
            OrderResult.NO_ANSWER,
            OrderResult.LATE,
        ):
            if result is OrderResult.LATE:
                pending.deadline_ms = 0
            self._loop.call_later(START_RETRY_S, lambda: self._send_start(pending))
        elif self._starts.pop((order.task, order.run), None) is not None:
            self._driver.on_run_withdrawn(self.name, order.task, order.run)
            if result is not OrderResult.NOT_SENT:
                self._driver.on_start_refused(self.name)

    def stop(self, task, run):
        """Stop a run; repeat the order until its end is reported."""
        if (task, run) not in self._stopping:
            self._stopping[task, run] = True
            self._send_stop(task, run)

    def _send_stop(self, task, run):
        if self._closed or (task, run) not in self._stopping:
            return

        min_clock_ms = self._lease.min_clock_ms(self._loop.now())

        def done(answer):
            answer = self._check_incarnation(self._check_clock(answer, min_clock_ms))
            if self._closed:
                return
            self._lease.update_clock(self._loop.now(), answer.clock_ms)
            allocation = self._executor.allocations.get(task)
            if allocation is None or allocation.run != run:
                self._stopping.pop((task, run), None)
            elif answer.result is OrderResult.FENCED:
                self._driver.on_fenced(self.name)
            elif answer.result is OrderResult.TAKEN:
                self._mark_accepted(task, run)
                repeat()
            else:
                repeat()

        def repeat():
            if not self._closed:
                self._loop.call_later(STOP_RETRY_S, lambda: self._send_stop(task, run))

        self._client.stop(_RunId(task, run), done)
        self.renew_if_needed()

    def _mark_accepted(self, task, run):
        """Treat a start without an answer as accepted, after its stop was accepted.

        The executor refuses the start from now on if it has not arrived yet.
        """
        pending = self._starts.get((task, run))
        if pending is not None:
            pending.assume(self._loop.now())

    def pace(self, order, on_done):
        """Send a Pace order; ``on_done`` gets the OrderAnswer."""

        def done(answer):
            on_done(self._check_incarnation(answer))

        self._client.pace(order, done)


@attrs.frozen
class _RunId:
    task: str
    run: int
