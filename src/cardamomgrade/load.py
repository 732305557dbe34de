"""Program ``cardamom-load``: load generator that checks the entries' guarantees.

It sends requests to the entries at a fixed mean rate, reads from the endpoints how
often each request ran and prints a report as JSON. It exits with 1 when a guarantee
was violated or could not be checked.
"""

import json
import random
from collections import Counter

import attrs
import click

from .client import ClientConn, Requester
from .loop import Loop
from .net import Net, parse_address
from .wire import HttpRequest, HttpResponse

ANSWER_TIMEOUT_S = 10.0
COUNT_TIMEOUT_S = 5.0
# Time for the endpoints to finish requests before their runs are counted.
COUNT_DELAY_S = 1.0
KIND_IDEMPOTENT = "idempotent"
KIND_ONCE = "once"
KIND_KEYED = "keyed"
KINDS = (KIND_IDEMPOTENT, KIND_ONCE, KIND_KEYED)
OUTCOME_ANSWERED = "answered"
OUTCOME_NOT_RUN = "not-run"
OUTCOME_UNKNOWN = "unknown"
OUTCOME_DUPLICATE = "duplicate"
OUTCOME_REFUSED = "refused"
OUTCOME_LOST = "lost"
OUTCOME_WRONG = "wrong"


@attrs.define
class LoadRequest:
    """One request of the load with its outcome; times in seconds."""

    number: int
    kind: str
    entry: str
    path: str
    sent_s: float = 0.0
    duration_s: float = 0.0
    outcome: str = OUTCOME_LOST

    @property
    def load_id(self):
        """The value of ``Load-Id``, by which endpoints count the request's runs."""
        return f"load-{self.number}"


@attrs.define
class LoadPlan:
    """Parameters of a run.

    ``rate`` is the mean number of requests per second. ``weights`` are the relative
    rates of the entries; when empty, all entries get the same rate.
    """

    entries: tuple
    paths: tuple
    endpoints: tuple
    rate: float
    seconds: float
    seed: int
    work_ms: float
    weights: tuple = ()


@attrs.define
class LoadReport:
    """Results of a run; ``cut`` and the last five counts must be 0."""

    sent: int
    outcomes: Counter
    p50_ms: float
    p99_ms: float
    cut: int
    most_in_flight: int
    wrong: int
    lost: int
    run_twice: int
    not_run_but_ran: int
    uncounted_endpoints: int

    @property
    def failed(self):
        """Whether a guarantee was violated or could not be checked."""
        return bool(
            self.cut
            or self.wrong
            or self.lost
            or self.run_twice
            or self.not_run_but_ran
            or self.uncounted_endpoints
        )


def response_outcome(request, result):
    """Return the OUTCOME_* value for a response, or for the Refusal of a request."""
    if not isinstance(result, HttpResponse):
        return OUTCOME_LOST
    reported = result.header("cardamom-outcome")
    if reported and reported != "ok":
        return reported
    complete = result.body.endswith(request.load_id.encode())
    return OUTCOME_ANSWERED if complete and result.status == 200 else OUTCOME_WRONG


def http_request(request, work_ms):
    """Return the HttpRequest to send; its body is the load id."""
    headers = [
        (b"host", b"entry"),
        (b"load-id", request.load_id.encode()),
        (b"work-ms", str(work_ms).encode()),
        (b"caller", f"office-{request.number % 7}".encode()),
    ]
    if request.kind == KIND_KEYED:
        headers.append((b"idempotency-key", request.load_id.encode()))
    method = "PUT" if request.kind == KIND_IDEMPOTENT else "POST"
    return HttpRequest(
        method,
        f"{request.path}/{request.number}",
        tuple(headers),
        request.load_id.encode(),
    )


class LoadRun:
    """Sends the requests of a plan and keeps each with its outcome."""

    def __init__(self, loop, net, plan, on_done):
        self._loop = loop
        self._net = net
        self._plan = plan
        self._on_done = on_done
        self._rng = random.Random(plan.seed)
        self._idle_conns = {entry: [] for entry in plan.entries}
        self._in_flight = 0
        self._all_sent = False
        self._started_s = loop.now()
        self.requests = []
        loop.call_later(0, self._send_next)

    def _send_next(self):
        if self._loop.now() - self._started_s >= self._plan.seconds:
            self._all_sent = True
            self._check_done()
            return
        gap = self._rng.expovariate(self._plan.rate)
        self._loop.call_later(gap, self._send_next)
        self._send(self._next_request())

    def _next_request(self):
        plan = self._plan
        weights = plan.weights or None
        request = LoadRequest(
            len(self.requests),
            self._rng.choice(KINDS),
            self._rng.choices(plan.entries, weights)[0],
            self._rng.choice(plan.paths),
            self._loop.now(),
        )
        self.requests.append(request)
        return request

    def _send(self, request):
        self._in_flight += 1
        idle = self._idle_conns[request.entry]
        while idle:
            conn = idle.pop()
            if conn.usable:
                self._send_on(conn, request)
                return

        def opened(raw):
            self._send_on(ClientConn(raw), request)

        host, port = parse_address(request.entry)
        self._net.dial(host, port, opened, lambda exc: self._connect_failed(request))

    def _connect_failed(self, request):
        """Record as not run: without a connection the request was never sent."""
        self._finish(request, OUTCOME_NOT_RUN)

    def _send_on(self, conn, request):
        def done(result):
            timer.cancel()
            if conn.usable:
                self._idle_conns[request.entry].append(conn)
            self._finish(request, response_outcome(request, result))

        def expire():
            conn.abort()
            self._finish(request, OUTCOME_LOST)

        timer = self._loop.call_later(ANSWER_TIMEOUT_S, expire)
        conn.send(http_request(request, self._plan.work_ms), done)

    def _finish(self, request, outcome):
        request.outcome = outcome
        request.duration_s = self._loop.now() - request.sent_s
        self._in_flight -= 1
        self._check_done()

    def _check_done(self):
        if self._all_sent and not self._in_flight:
            self._loop.call_later(COUNT_DELAY_S, self._on_done)


class RunCounts:
    """Fetches the counts of runs from all endpoints and adds them up.

    ``unreachable`` is the number of endpoints without a response so far.
    """

    def __init__(self, loop, net, endpoints, on_done):
        self.runs = Counter()
        self.cut = 0
        self.most_in_flight = 0
        self.unreachable = len(endpoints)
        self._pending = len(endpoints)
        self._on_done = on_done
        for item in endpoints:
            req = HttpRequest("GET", "/__runs", ((b"host", b"vm"),))
            requester = Requester(loop, net, item, 16 * 1024 * 1024)
            requester.request(req, self._counted, COUNT_TIMEOUT_S)
        if not endpoints:
            loop.call_later(0, on_done)

    def _counted(self, result):
        if isinstance(result, HttpResponse):
            view = json.loads(result.body)
            self.runs.update(view["runs"])
            self.cut += view["cut"]
            self.most_in_flight = max(self.most_in_flight, view["most_in_flight"])
            self.unreachable -= 1
        self._pending -= 1
        if not self._pending:
            self._on_done()


def percentile_ms(values, fraction):
    """Return a percentile, in ms, of sorted values in seconds; 0.0 without values."""
    if not values:
        return 0.0
    return round(1000 * values[min(len(values) - 1, int(fraction * len(values)))], 1)


def report(requests, counts):
    """Return the LoadReport for the requests and the endpoints' counts."""
    outcomes = Counter(request.outcome for request in requests)
    durations_s = sorted(
        request.duration_s
        for request in requests
        if request.outcome == OUTCOME_ANSWERED
    )
    return LoadReport(
        sent=len(requests),
        outcomes=outcomes,
        p50_ms=percentile_ms(durations_s, 0.5),
        p99_ms=percentile_ms(durations_s, 0.99),
        cut=counts.cut,
        most_in_flight=counts.most_in_flight,
        wrong=outcomes[OUTCOME_WRONG],
        lost=outcomes[OUTCOME_LOST],
        run_twice=sum(
            counts.runs[request.load_id] > 1
            for request in requests
            if request.kind != KIND_IDEMPOTENT
        ),
        not_run_but_ran=sum(
            counts.runs[request.load_id] > 0
            for request in requests
            if request.outcome == OUTCOME_NOT_RUN
        ),
        uncounted_endpoints=counts.unreachable,
    )


def run_load(plan):
    """Run a plan to its end and return (LoadReport, list of LoadRequest)."""
    loop = Loop()
    net = Net(loop)
    run = LoadRun(loop, net, plan, lambda: count())
    counts = []

    def count():
        counts.append(RunCounts(loop, net, plan.endpoints, loop.finish))

    loop.run()
    return report(run.requests, counts[0]), run.requests


@click.command()
@click.option("--entry", "entries", multiple=True, required=True, help="ip:port")
@click.option("--path", "paths", multiple=True, required=True, help="service path")
@click.option(
    "--endpoint", "endpoints", multiple=True, help="ip:port to read run counts from"
)
@click.option("--rate", default=50.0, help="mean requests per second")
@click.option("--seconds", default=5.0, type=click.FloatRange(0.1, 600))
@click.option("--work-ms", default=5.0, help="run time of each request in ms")
@click.option("--seed", default=1)
@click.option("--weight", "weights", multiple=True, type=float, help="one per entry")
def main(entries, paths, endpoints, rate, seconds, work_ms, seed, weights):
    """Send a mixed load and print a report as JSON.

    Example: cardamom-load --entry 127.0.0.1:8001 --path /fines --rate 20
    """
    plan = LoadPlan(entries, paths, endpoints, rate, seconds, seed, work_ms, weights)
    outcome, _ = run_load(plan)
    click.echo(json.dumps(attrs.asdict(outcome)))
    raise SystemExit(1 if outcome.failed else 0)


if __name__ == "__main__":
    main()
