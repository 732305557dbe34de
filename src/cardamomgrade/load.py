"""Program ``cardamom-load``: sends a bounded mixed load and judges the answers.

It sends requests to the entries at a fixed mean rate, asks the endpoints how often
each request ran and prints a report as JSON. It exits with 1 when a promise broke.
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
SETTLE_S = 1.0
KIND_SAFE = "idempotent"
KIND_ONCE = "once"
KIND_KEYED = "keyed"
KINDS = (KIND_SAFE, KIND_ONCE, KIND_KEYED)
OUTCOME_ANSWERED = "answered"
OUTCOME_NOT_RUN = "not-run"
OUTCOME_UNKNOWN = "unknown"
OUTCOME_DUPLICATE = "duplicate"
OUTCOME_REFUSED = "refused"
OUTCOME_LOST = "lost"
OUTCOME_WRONG = "wrong"


@attrs.define
class Shot:
    """One request of the load and what came of it; times in seconds."""

    number: int
    kind: str
    entry: str
    path: str
    sent_s: float = 0.0
    took_s: float = 0.0
    outcome: str = OUTCOME_LOST

    @property
    def load_id(self):
        """The id under which endpoints count the request's runs."""
        return f"load-{self.number}"


@attrs.define
class LoadPlan:
    """What to send; ``weights`` skews the entries, empty is even."""

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
    """Counts of a run; the last five must be 0."""

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
    def broken(self):
        """Whether a promise of the system broke, or could not be checked."""
        return bool(
            self.cut
            or self.wrong
            or self.lost
            or self.run_twice
            or self.not_run_but_ran
            or self.uncounted_endpoints
        )


def judge(shot, result):
    """Return the outcome of one answer."""
    if not isinstance(result, HttpResponse):
        return OUTCOME_LOST
    told = result.header("cardamom-outcome")
    if told and told != "ok":
        return told
    whole = result.body.endswith(shot.load_id.encode())
    return OUTCOME_ANSWERED if whole and result.status == 200 else OUTCOME_WRONG


def shot_request(shot, work_ms):
    """Return the HTTP request of a shot; its body ends with its id."""
    headers = [
        (b"host", b"entry"),
        (b"load-id", shot.load_id.encode()),
        (b"work-ms", str(work_ms).encode()),
        (b"caller", f"office-{shot.number % 7}".encode()),
    ]
    if shot.kind == KIND_KEYED:
        headers.append((b"idempotency-key", shot.load_id.encode()))
    method = "PUT" if shot.kind == KIND_SAFE else "POST"
    return HttpRequest(
        method, f"{shot.path}/{shot.number}", tuple(headers), shot.load_id.encode()
    )


class LoadRun:
    """Runs a plan on the loop and keeps each shot."""

    def __init__(self, loop, net, plan, on_done):
        self._loop = loop
        self._net = net
        self._plan = plan
        self._on_done = on_done
        self._rng = random.Random(plan.seed)
        self._idle = {entry: [] for entry in plan.entries}
        self._open = 0
        self._ended = False
        self._started = loop.now()
        self.shots = []
        loop.call_later(0, self._fire)

    def _fire(self):
        if self._loop.now() - self._started >= self._plan.seconds:
            self._ended = True
            self._maybe_done()
            return
        gap = self._rng.expovariate(self._plan.rate)
        self._loop.call_later(gap, self._fire)
        self._send(self._next_shot())

    def _next_shot(self):
        plan = self._plan
        weights = plan.weights or None
        shot = Shot(
            len(self.shots),
            self._rng.choice(KINDS),
            self._rng.choices(plan.entries, weights)[0],
            self._rng.choice(plan.paths),
            self._loop.now(),
        )
        self.shots.append(shot)
        return shot

    def _send(self, shot):
        self._open += 1
        idle = self._idle[shot.entry]
        while idle:
            conn = idle.pop()
            if conn.usable:
                self._send_on(conn, shot)
                return

        def opened(raw):
            self._send_on(ClientConn(raw), shot)

        host, port = parse_address(shot.entry)
        self._net.dial(host, port, opened, lambda exc: self._refused(shot))

    def _refused(self, shot):
        """Count a connection that no entry took as not sent: nothing was owed."""
        self._finish(shot, OUTCOME_NOT_RUN)

    def _send_on(self, conn, shot):
        def done(result):
            timer.cancel()
            if conn.usable:
                self._idle[shot.entry].append(conn)
            self._finish(shot, judge(shot, result))

        def expire():
            conn.abort()
            self._finish(shot, OUTCOME_LOST)

        timer = self._loop.call_later(ANSWER_TIMEOUT_S, expire)
        conn.send(shot_request(shot, self._plan.work_ms), done)

    def _finish(self, shot, outcome):
        shot.outcome = outcome
        shot.took_s = self._loop.now() - shot.sent_s
        self._open -= 1
        self._maybe_done()

    def _maybe_done(self):
        if self._ended and not self._open:
            self._loop.call_later(SETTLE_S, self._on_done)


class RunCounts:
    """Collects the endpoints' own counts of runs."""

    def __init__(self, loop, net, endpoints, on_done):
        self.runs = Counter()
        self.cut = 0
        self.most_in_flight = 0
        self.missing = len(endpoints)
        self._left = len(endpoints)
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
            self.missing -= 1
        self._left -= 1
        if not self._left:
            self._on_done()


def percentile_ms(values, share):
    """Return the value below which ``share`` of the sorted seconds lie, in ms."""
    if not values:
        return 0.0
    return round(1000 * values[min(len(values) - 1, int(share * len(values)))], 1)


def report(shots, counts):
    """Return the LoadReport of a run."""
    outcomes = Counter(shot.outcome for shot in shots)
    took = sorted(shot.took_s for shot in shots if shot.outcome == OUTCOME_ANSWERED)
    return LoadReport(
        sent=len(shots),
        outcomes=outcomes,
        p50_ms=percentile_ms(took, 0.5),
        p99_ms=percentile_ms(took, 0.99),
        cut=counts.cut,
        most_in_flight=counts.most_in_flight,
        wrong=outcomes[OUTCOME_WRONG],
        lost=outcomes[OUTCOME_LOST],
        run_twice=sum(
            counts.runs[shot.load_id] > 1 for shot in shots if shot.kind != KIND_SAFE
        ),
        not_run_but_ran=sum(
            counts.runs[shot.load_id] > 0
            for shot in shots
            if shot.outcome == OUTCOME_NOT_RUN
        ),
        uncounted_endpoints=counts.missing,
    )


def run_load(plan):
    """Run a plan to its end and return (LoadReport, shots)."""
    loop = Loop()
    net = Net(loop)
    run = LoadRun(loop, net, plan, lambda: count())
    counts = []

    def count():
        counts.append(RunCounts(loop, net, plan.endpoints, loop.finish))

    loop.run()
    return report(run.shots, counts[0]), run.shots


@click.command()
@click.option("--entry", "entries", multiple=True, required=True, help="ip:port")
@click.option("--path", "paths", multiple=True, required=True, help="service path")
@click.option("--endpoint", "endpoints", multiple=True, help="ip:port to count at")
@click.option("--rate", default=50.0, help="mean requests a second")
@click.option("--seconds", default=5.0, type=click.FloatRange(0.1, 600))
@click.option("--work-ms", default=5.0, help="run time of a request")
@click.option("--seed", default=1)
@click.option("--weight", "weights", multiple=True, type=float, help="one an entry")
def main(entries, paths, endpoints, rate, seconds, work_ms, seed, weights):
    """Send a mixed load and print a JSON report.

    Example: cardamom-load --entry 127.0.0.1:8001 --path /fines --rate 20
    """
    plan = LoadPlan(entries, paths, endpoints, rate, seconds, seed, work_ms, weights)
    outcome, _ = run_load(plan)
    click.echo(json.dumps(attrs.asdict(outcome)))
    raise SystemExit(1 if outcome.broken else 0)


if __name__ == "__main__":
    main()
