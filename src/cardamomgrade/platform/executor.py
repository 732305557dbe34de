"""Client of one executor: sends start, stop and pace orders, and renews its lease."""

import json

import attrs

from ..client import Failure, Requester, RequesterPool
from ..jobs.reports import (
    EndedTask,
    LeaseReport,
    OrderAnswer,
    OrderResult,
    Outcome,
    RunningTask,
)
from ..peer import PeerCheck
from ..wire import HttpRequest
from .checks import born_ms, is_int, is_number, is_text, parse_object

ORDER_TIMEOUT_S = 0.5  # a healthy executor answers within a few ms
ORDER_CONNECTIONS = 4  # an order without an answer must not hold up the others
FIRST_ANSWER_SLACK_S = 0.25  # of an attempt that is repeated at once
ANSWER_SLACK_S = 0.7  # beyond the wait that a renewal requests
ANSWER_LIMIT_BYTES = 4 * 1024 * 1024  # well above a report of 500 ends and all runs
ENDS_PER_REPORT = 500  # a report with as many may leave out later ones
TASK_LIMIT_CHARS = 100  # an id of a task has at most 16 digits and three numbers
HOLD = "/api/hold"
MS = 1000
_CONFLICTS = {
    "fence": OrderResult.FENCED,
    "old": OrderResult.OUTDATED,
    "late": OrderResult.LATE,
    "room": OrderResult.NO_ROOM,
    "ticket": OrderResult.BAD_TICKET,
}
_RESULTS = {
    200: OrderResult.TAKEN,
    400: OrderResult.REJECTED,
    429: OrderResult.NOT_DONE,
    503: OrderResult.NOT_DONE,
}


def _parse_object(body):
    try:
        return parse_object(body)
    except ValueError:
        return {}


def _clock_ms(fields):
    clock_ms = fields.get("clockMs", 0)
    return clock_ms if is_int(clock_ms, low=0) else 0


def _order_answer(res):
    if isinstance(res, Failure) and res.check is not None:
        return _unsent_answer(res)
    if isinstance(res, Failure):
        result = OrderResult.NO_ANSWER if res.sent else OrderResult.NOT_DONE
        return OrderAnswer(result, detail=f"{res.detail}, {res.sending}")
    fields = _parse_object(res.body)
    if res.status == 421:
        return OrderAnswer(OrderResult.WRONG_LIFE)
    result = OrderResult.NO_ANSWER
    if res.status == 409:
        reason = fields.get("reason")
        known = isinstance(reason, str)
        result = _CONFLICTS.get(reason if known else "", OrderResult.REJECTED)
    elif res.status in _RESULTS:
        result = _RESULTS[res.status]
    return OrderAnswer(result, _clock_ms(fields), born_ms(fields))


def _unsent_answer(res):
    """Return the answer to an order that was not sent as the PeerCheck failed."""
    detail = f"{res.detail}, {res.sending}"
    if isinstance(res.check, Failure):
        return OrderAnswer(OrderResult.NOT_SENT, detail=detail)
    answer = _order_answer(res.check)
    if answer.result not in (OrderResult.FENCED, OrderResult.WRONG_LIFE):
        answer = attrs.evolve(answer, result=OrderResult.NOT_DONE)
    return attrs.evolve(answer, detail=detail)


def _check_run(task, run):
    if not is_text(task) or len(task) > TASK_LIMIT_CHARS or not is_int(run, low=0):
        raise ValueError("no task and run")


def _checkpoint(value):
    checkpoint = "" if value is None else value
    if not is_text(checkpoint):
        raise ValueError("the checkpoint is no text")
    return checkpoint


def _running_task(row):
    task, run, checkpoint, percent, *others = row
    load = others[0] if others else 0
    _check_run(task, run)
    if not (is_number(percent) and is_number(load)):
        raise ValueError("percent or load is no number")
    return RunningTask(task, run, _checkpoint(checkpoint), percent, load)


def _ended_task(row):
    number, task, run, outcome, checkpoint, *_ = row
    _check_run(task, run)
    if not is_int(number, low=1):
        raise ValueError("an end has no number")
    return EndedTask(number, task, run, Outcome(outcome), _checkpoint(checkpoint))


def _rows(fields, name):
    rows = fields[name]
    if not isinstance(rows, list) or not all(isinstance(row, list) for row in rows):
        raise ValueError(f"{name} is no list of rows")
    return rows


def _lease_report(res):
    answer = _order_answer(res)
    if answer.result is not OrderResult.TAKEN:
        return answer
    fields = _parse_object(res.body)
    try:
        running = tuple(_running_task(row) for row in _rows(fields, "running"))
        ended = tuple(_ended_task(row) for row in _rows(fields, "finished"))
    except (ValueError, KeyError):
        # One malformed row makes the others doubtful: runs may seem to be missing.
        return OrderAnswer(OrderResult.REJECTED, answer.clock_ms, answer.born)
    more_ends = len(ended) >= ENDS_PER_REPORT
    return LeaseReport(answer.clock_ms, running, ended, more_ends, answer.born)


class ExecutorClient:
    """Calls to one incarnation of an executor, with a fencing token.

    The executor refuses calls with a lower token than the highest it has received. The
    next incarnation under its id knows none, so that starts are sent only over
    connections over which this one has told its ``born``.
    """

    def __init__(self, loop, net, entry, token):
        self._loop = loop
        self._token = token
        self._headers = (
            (b"host", entry.address.encode()),
            (b"content-type", b"application/json"),
            (b"x-expect-instance", entry.executor.encode()),
        )
        self._born = entry.born
        self._check = PeerCheck(self._request(HOLD, {"ackIndex": 0}), self._is_same)
        self._renewals = Requester(loop, net, entry.address, ANSWER_LIMIT_BYTES)
        self._orders = RequesterPool(
            loop, net, entry.address, ORDER_CONNECTIONS, self._check
        )

    def close(self):
        """Drop the connections; calls in flight make no callback."""
        self._renewals.close()
        self._orders.close()

    @property
    def reaches_same_process(self):
        """Whether a renewal reaches the process that answered the last one, or none."""
        return self._renewals.connected

    @property
    def keeps_connections(self):
        """Whether the executor left the connection open after its last answer."""
        return self._renewals.keeps_open

    def _request(self, path, fields):
        body = json.dumps({**fields, "fencingToken": self._token}).encode()
        return HttpRequest("POST", path, self._headers, body)

    def _report(self, res):
        report = _lease_report(res)
        # Where the registration lacks ``born``, the first report has it.
        self._born = self._born or report.born
        return report

    def _is_same(self, res):
        """Return whether a report is of this incarnation, if reports tell it."""
        report = self._report(res)
        return isinstance(report, LeaseReport) and report.born in (0, self._born)

    def _order(self, path, fields, on_done, verify=False):
        def done(res):
            on_done(_order_answer(res))

        req = self._request(path, fields)
        self._orders.request(req, done, ORDER_TIMEOUT_S, verify)

    def ask(self, on_done):
        """Request a report beside a renewal that may wait for its answer.

        Calls ``on_done(LeaseReport | OrderAnswer)``; renews and acknowledges nothing.
        """

        def done(res):
            on_done(self._report(res))

        self._orders.request(self._check.req, done, ORDER_TIMEOUT_S)

    def start(self, order, deadline_ms, on_done):
        """Start a run; ``deadline_ms`` is the lease's end on the executor's clock.

        It is not sent if this incarnation does not answer, or another one does.
        """
        fields = {
            "task": order.task,
            "run": order.run,
            "spec": order.text,
            "deadlineMs": deadline_ms,
        }
        if order.checkpoint:
            fields["checkpoint"] = order.checkpoint
        if order.ticket:
            fields["ticket"] = order.ticket
        self._order("/api/run-start", fields, on_done, verify=self._born > 0)

    def stop(self, order, on_done):
        """Stop a run, also one whose start has not arrived yet."""
        fields = {"task": order.task, "run": order.run}
        self._order("/api/run-stop", fields, on_done)

    def pace(self, order, on_done):
        """Set the pace of a run to ``order.percent`` of full speed."""
        fields = {"task": order.task, "run": order.run, "percent": order.percent}
        self._order("/api/pace", fields, on_done)

    def renew(self, deadline_ms, stored_end, wait_ms, on_done, is_first=False):
        """Renew the lease until ``deadline_ms`` of the executor's clock.

        Calls ``on_done(LeaseReport | OrderAnswer)``. A deadline of None does not renew
        the lease. ``stored_end`` acknowledges ends of runs up to that number; the
        executor waits up to ``wait_ms`` for another end before it answers. The first
        attempt of a renewal, ``is_first``, is given up sooner.
        """
        fields = {"ackIndex": stored_end}
        if deadline_ms is not None:
            fields["deadlineMs"] = deadline_ms
        if wait_ms:
            fields["waitMs"] = wait_ms
        slack_s = FIRST_ANSWER_SLACK_S if is_first else ANSWER_SLACK_S
        timeout = wait_ms / MS + slack_s
        sent_at = self._loop.boot_now()

        def done(res):
            report = self._report(res)
            if isinstance(report, LeaseReport) and report.born == self._born:
                self._check.record_answer(sent_at)
            on_done(report)

        self._renewals.request(self._request(HOLD, fields), done, timeout)
