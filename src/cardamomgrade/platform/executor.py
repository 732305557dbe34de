"""Client of one executor: sends start, stop and pace orders, and renews its lease."""

import json

from ..client import Failure, Requester, RequesterPool
from ..jobs.reports import (
    EndedTask,
    LeaseReport,
    OrderAnswer,
    OrderResult,
    Outcome,
    RunningTask,
)
from ..wire import HttpRequest

ORDER_TIMEOUT_S = 0.5  # a healthy executor answers within a few ms
ORDER_CONNECTIONS = 4  # an order without an answer must not hold up the others
ANSWER_SLACK_S = 0.7  # beyond the wait that a renewal requests
ANSWER_LIMIT_BYTES = 4 * 1024 * 1024  # well above a report of 500 ends and all runs
ENDS_PER_REPORT = 500  # a report with as many may leave out later ones
MS = 1000
_CONFLICTS = {
    "fence": OrderResult.FENCED,
    "old": OrderResult.OUTDATED,
    "late": OrderResult.LATE,
    "room": OrderResult.NO_ROOM,
    "ticket": OrderResult.BAD_TICKET,
}


def _parse_object(body):
    try:
        fields = json.loads(body)
    except ValueError:
        return {}
    return fields if isinstance(fields, dict) else {}


def _clock_ms(fields):
    clock_ms = fields.get("clockMs", 0)
    return clock_ms if isinstance(clock_ms, int) else 0


def _order_answer(res):
    if isinstance(res, Failure):
        return OrderAnswer(OrderResult.NO_ANSWER if res.sent else OrderResult.NOT_DONE)
    fields = _parse_object(res.body)
    clock_ms = _clock_ms(fields)
    if res.status == 200:
        return OrderAnswer(OrderResult.TAKEN, clock_ms)
    if res.status == 409:
        reason = fields.get("reason")
        return OrderAnswer(_CONFLICTS.get(reason, OrderResult.REJECTED), clock_ms)
    if res.status == 421:
        return OrderAnswer(OrderResult.WRONG_LIFE)
    if res.status in (429, 503):
        return OrderAnswer(OrderResult.NOT_DONE, clock_ms)
    if res.status == 400:
        return OrderAnswer(OrderResult.REJECTED, clock_ms)
    return OrderAnswer(OrderResult.NO_ANSWER, clock_ms)


def _running_task(row):
    load = row[4] if len(row) > 4 else 0
    return RunningTask(row[0], row[1], row[2], row[3], load)


def _ended_task(row):
    return EndedTask(row[0], row[1], row[2], Outcome(row[3]), row[4])


def _lease_report(res):
    answer = _order_answer(res)
    if answer.result is not OrderResult.TAKEN:
        return answer
    fields = _parse_object(res.body)
    try:
        running = tuple(_running_task(row) for row in fields["running"])
        ended = tuple(_ended_task(row) for row in fields["finished"])
    except (ValueError, TypeError, KeyError, IndexError):
        return OrderAnswer(OrderResult.REJECTED, answer.clock_ms)
    more_ends = len(ended) >= ENDS_PER_REPORT
    return LeaseReport(answer.clock_ms, running, ended, more_ends)


class ExecutorClient:
    """Calls to one incarnation of an executor, fenced by the epoch of one scheduler.

    The executor refuses calls with an epoch older than the newest it has received.
    """

    def __init__(self, loop, net, entry, epoch):
        self._renewals = Requester(loop, net, entry.address, ANSWER_LIMIT_BYTES)
        self._orders = RequesterPool(loop, net, entry.address, ORDER_CONNECTIONS)
        self._epoch = epoch
        self._headers = (
            (b"host", entry.address.encode()),
            (b"content-type", b"application/json"),
            (b"x-expect-instance", entry.executor.encode()),
        )

    def close(self):
        """Drop the connections; calls in flight make no callback."""
        self._renewals.close()
        self._orders.close()

    def _send(self, requester, path, fields, on_done, timeout):
        body = json.dumps({**fields, "fencingToken": self._epoch}).encode()
        req = HttpRequest("POST", path, self._headers, body)
        requester.request(req, on_done, timeout)

    def _order(self, path, fields, on_done):
        def done(res):
            on_done(_order_answer(res))

        self._send(self._orders, path, fields, done, ORDER_TIMEOUT_S)

    def start(self, order, deadline_ms, on_done):
        """Start a run; ``deadline_ms`` is the lease's end on the executor's clock."""
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
        self._order("/api/run-start", fields, on_done)

    def stop(self, order, on_done):
        """Stop a run, also one whose start has not arrived yet."""
        fields = {"task": order.task, "run": order.run}
        self._order("/api/run-stop", fields, on_done)

    def pace(self, order, on_done):
        """Set the pace of a run to ``order.percent`` of full speed."""
        fields = {"task": order.task, "run": order.run, "percent": order.percent}
        self._order("/api/pace", fields, on_done)

    def renew(self, deadline_ms, stored_end, wait_ms, on_done):
        """Renew the lease until ``deadline_ms`` of the executor's clock.

        Calls ``on_done(LeaseReport | OrderAnswer)``. A deadline of None does not renew
        the lease. ``stored_end`` acknowledges ends of runs up to that number; the
        executor waits up to ``wait_ms`` for another end before it answers.
        """
        fields = {"ackIndex": stored_end}
        if deadline_ms is not None:
            fields["deadlineMs"] = deadline_ms
        if wait_ms:
            fields["waitMs"] = wait_ms
        timeout = wait_ms / MS + ANSWER_SLACK_S

        def done(res):
            on_done(_lease_report(res))

        self._send(self._renewals, "/api/hold", fields, done, timeout)
