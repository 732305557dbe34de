"""One node: serves callers, follows the store, and schedules when it is elected."""

import uuid

import attrs

from ..errors import RecordError, SettingsError
from ..journal import event, log_event
from ..metrics import Metrics
from ..net import Net, parse_address
from ..overload import MemoryBudget
from ..scrape import ScrapeServer
from ..server import HttpServer, ServerLimits
from ..wire import BODY_LIMIT_BYTES, HttpResponse
from .admission import never_refused, retry_after_s
from .calls import Answer, AnswerKind
from .customers import Customer
from .driver import Driver
from .entry import AppendBatcher, JobEntry, unavailable
from .follow import TopicFollower
from .mechanisms import ALL_ENABLED
from .records import encode, KEY_TERM
from .shedding import (
    connection_limit,
    memory_limit_bytes,
    SheddingLog,
    SOCKET_BYTES,
)
from .store import Appended, AppendFate, WriterPosition
from .term import is_small, RESIGNED_JITTER_S, Term
from .view import JobView
from .writer import candidate_record, WRITER_NAME

FOLLOWER_PAUSE_S = 0.2  # job states shown by a follower may lag by this much
SCHEDULER_PAUSE_S = 0.03  # part of the one second within which a task should start
CANDIDACY_TIMEOUT_S = 1.0
READY_MAX_AGE_S = 1.8  # takes a node that cannot read the store out of rotation
BALANCER_DELAY_S = 2.5  # the load balancer probes each second; two must fail
DRAIN_POLL_S = 0.1
MAX_REPORTED_AGE_S = 3600.0  # metric value for a copy that was never read
READY_LIMITS = ServerLimits(body_bytes=1024, connections=64)
MS = 1000
NO_CUSTOMER = Customer("")


@event(631)
class NodeStarted:
    """A node started to serve requests."""

    zone: str
    front: str
    store: str
    incarnation: str


@event(632)
class NodeStopped:
    """A node started an orderly shutdown."""

    open_requests: int


@event(635)
class SettingsReloaded:
    """The settings were reloaded; ``changed`` lists the fields that differ.

    New bounds (fields in ms) apply at once, all other fields at the next start.
    """

    changed: str


@event(636)
class SettingsKept:
    """Reloaded settings are invalid; the previous ones stay in force."""

    detail: str


@event(633)
class ConfigInForce:
    """A version of the operators' configuration took effect on this node."""

    version: int
    queues: int
    services: int
    customers: int


@event(634)
class ConfigUnreadable:
    """An operators' record is malformed; the previous one stays in force."""

    key: str
    detail: str


class Node:
    """All parts of one process; ended by ``stop`` and then closed once.

    ``switches`` are the Switches of mechanisms.
    """

    def __init__(
        self, loop, cfg, make_platform, metrics_page=None, switches=ALL_ENABLED
    ):
        self._loop = loop
        self._metrics = Metrics()
        self._metrics_page = metrics_page
        self._switches = switches
        self._cfg = cfg
        self._net = Net(loop)
        self._platform = make_platform(loop, self._net, cfg)
        self._incarnation = uuid.uuid4().hex[:12]
        self._term = Term(cfg.node, self._incarnation, is_small(cfg))
        self._queue_cfg = None
        self._waves = {}
        self._driver = None
        self._candidacy = None
        self._elected = None
        self._stopping = False
        self._open_requests = 0
        self._view = JobView(loop.now)
        self._view.on_term = self._on_term
        self._follower = TopicFollower(
            loop,
            self._platform.jobs_topic(),
            "jobs",
            self._view.fold,
            self._on_read,
            FOLLOWER_PAUSE_S,
            self._term.on_store_unreachable,
        )
        self._operator_follower = TopicFollower(
            loop, self._platform.operator_topic(), "operator", self._on_operator
        )
        self._append_topic = self._platform.jobs_topic()
        self._sync_topic = self._platform.jobs_topic()
        self._candidacy_topic = self._platform.jobs_topic()
        batcher = AppendBatcher(
            loop, self._append_topic, self._metrics, cfg.node, self._incarnation
        )
        self._view.on_stored = batcher.on_key_read
        self._view.on_append = batcher.on_append_read
        self._entry = JobEntry(
            loop,
            self._view,
            self._follower,
            batcher,
            self._sync,
            self._metrics,
            refuse_for_s=switches.choose("admission", retry_after_s, never_refused),
        )
        self._front_server = HttpServer(
            loop,
            self._net,
            self._on_request,
            ServerLimits(
                connections=connection_limit(cfg.max_fds), socket_bytes=SOCKET_BYTES
            ),
            self._platform.bad_request,
            SheddingLog(loop, self._metrics).note,
            MemoryBudget(memory_limit_bytes(cfg.memory_mb)),
        )
        self._ready_server = HttpServer(loop, self._net, self._on_ready, READY_LIMITS)
        self._scrape_server = ScrapeServer(loop, self._net, self._metrics, self._gauges)

    def start(self):
        """Open the listeners and start to follow the store."""
        self._front_server.listen(*parse_address(self._cfg.front))
        self._ready_server.listen(*parse_address(self._cfg.ready))
        if self._metrics_page is not None:
            host, _ = parse_address(self._cfg.front)
            port, path = self._metrics_page
            self._scrape_server.listen(f"{host}:{port}", path)
        log_event(
            NodeStarted(
                self._cfg.zone, self._cfg.front, self._cfg.store, self._incarnation
            )
        )
        self._switches.log()
        self._operator_follower.start()
        self._follower.start()

    @property
    def cfg(self):
        """The NodeSettings in force."""
        return self._cfg

    @property
    def scheduling(self):
        """Whether this node schedules now."""
        return self._driver is not None

    def _gauges(self):
        driver = self._driver
        return {
            "scheduling": int(driver is not None),
            "epoch": self._term.epoch,
            "config_version": self._queue_cfg.version if self._queue_cfg else 0,
            "copy_age_seconds": min(self._follower.age(), MAX_REPORTED_AGE_S),
            "open_requests": self._open_requests,
            **(driver.gauges() if driver is not None else {}),
        }

    def close(self):
        """Close all connections at once, as when the process is killed."""
        self._elected = None
        if self._driver is not None:
            self._driver.close()
            self._driver = None
        for follower in (self._follower, self._operator_follower):
            follower.close()
        for server in (self._front_server, self._ready_server):
            server.close_all_except(None)
        self._scrape_server.close()
        for topic in (self._append_topic, self._sync_topic, self._candidacy_topic):
            topic.close()
        self._net.close_listeners()

    def reload(self, load):
        """Reload the settings with ``load()``; invalid ones change nothing."""
        try:
            cfg = load()
        except SettingsError as exc:
            log_event(SettingsKept(str(exc)))
            return
        names = [field.name for field in attrs.fields(type(cfg))]
        changed = [
            name for name in names if getattr(cfg, name) != getattr(self._cfg, name)
        ]
        log_event(SettingsReloaded(", ".join(changed)))
        bounds = {name: getattr(cfg, name) for name in names if name.endswith("_ms")}
        self._cfg = attrs.evolve(self._cfg, **bounds)

    def stop(self):
        """Shut down in order: resign the term, then finish open requests."""
        if self._stopping:
            return
        self._stopping = True
        self._elected = None
        log_event(NodeStopped(self._open_requests))
        if self._driver is not None:
            self._driver.close(resign=True)
            self._driver = None
            self._term.transition("resigned", "the node is shutting down")
        self._loop.call_later(BALANCER_DELAY_S, self._drain)

    def _drain(self):
        self._front_server.drain()
        limit = self._loop.now() + self._cfg.grace_ms / MS - BALANCER_DELAY_S - 1.0

        def check():
            if not self._front_server.sessions or self._loop.now() > limit:
                self._loop.finish()
            else:
                self._loop.call_later(DRAIN_POLL_S, check)

        check()

    # Requests of callers

    def _on_ready(self, exchange):
        path_matches = exchange.req.path == self._platform.ready_path
        exchange.respond(
            HttpResponse(200 if path_matches and self._is_ready() else 503)
        )

    def _is_ready(self):
        return (
            not self._stopping
            and self._queue_cfg is not None
            and self._follower.loaded
            and self._follower.age() < READY_MAX_AGE_S
        )

    def _on_request(self, exchange):
        self._open_requests += 1

        def answer(result):
            self._open_requests -= 1
            # On a new connection the load balancer selects another node.
            close = result.kind is AnswerKind.UNAVAILABLE and not self._is_ready()
            exchange.respond(self._platform.encode_answer(result), close)

        req, cfg = exchange.req, self._queue_cfg
        if cfg is None:
            answer(unavailable("no configuration yet"))
            return
        queue = cfg.match(req.header("host"), req.path)
        if queue is None:
            if self._operator_follower.age() > READY_MAX_AGE_S:
                answer(unavailable("the configuration may be too old"))
            else:
                answer(Answer(AnswerKind.NO_QUEUE, detail="no such queue"))
            return
        customer = NO_CUSTOMER
        if cfg.needs_key(queue):
            found = self._authenticate(req)
            if isinstance(found, Answer):
                job = self._platform.decode_job(req, queue)
                self._entry.note_refused(job, queue, found)
                answer(found)
                return
            customer = found
        if cfg.body_limit and len(req.body) > cfg.body_limit:
            answer(Answer(AnswerKind.TOO_LARGE, detail="body too large"))
            return
        try:
            call = self._platform.decode_call(req, queue)
        except RecordError as exc:
            answer(Answer(AnswerKind.BAD_REQUEST, detail=str(exc)))
            return
        call = attrs.evolve(call, customer=customer.name)
        self._entry.serve(call, queue, answer, customer.limits)

    def _authenticate(self, req):
        """Return the Customer that calls, or the Answer that refuses the call.

        A node that cannot read the configuration cannot tell a revoked key from one in
        force, or an unknown key from a new one.
        """
        if self._operator_follower.age() > READY_MAX_AGE_S:
            return unavailable("the configuration may be too old")
        customer = self._queue_cfg.customer_of_key(self._platform.decode_key(req))
        if customer is None:
            return Answer(AnswerKind.NO_KEY, detail="no customer has this key")
        return customer

    def _sync(self, on_done):
        self._follower.sync(self._sync_topic, on_done)

    # The operators' records

    def _on_operator(self, entry):
        if not entry.value:
            return
        try:
            if entry.key == self._platform.key_config:
                self._apply_config(self._platform.decode_config(entry.value))
            elif entry.key.startswith(self._platform.prefix_wave):
                self._add_wave(self._platform.decode_wave(entry.value))
        except RecordError as exc:
            log_event(ConfigUnreadable(entry.key, str(exc)))

    def _apply_config(self, queue_cfg):
        if self._queue_cfg is not None and queue_cfg.version < self._queue_cfg.version:
            return
        self._queue_cfg = queue_cfg
        limits = self._front_server.limits
        body_bytes = min(queue_cfg.body_limit or BODY_LIMIT_BYTES, BODY_LIMIT_BYTES)
        self._front_server.limits = attrs.evolve(limits, body_bytes=body_bytes)
        log_event(
            ConfigInForce(
                queue_cfg.version,
                len(queue_cfg.queues),
                len(queue_cfg.services),
                len(queue_cfg.customers or ()),
            )
        )
        if self._driver is not None:
            self._driver.set_config(queue_cfg)

    def _add_wave(self, request):
        # It may have been stored at any time since the read before, if there was one.
        seen_at = self._loop.boot_now() - self._operator_follower.gap_s
        _, seen_at = self._waves.get(request.wave, (request, seen_at))
        self._waves[request.wave] = request, seen_at
        if self._driver is not None:
            self._driver.add_wave(request, self._loop.boot_now() - seen_at)

    # The term

    def _on_term(self, record, offset):
        self._term.on_term_record(record, self._loop.now())
        if self._driver is None and self._candidacy is None:
            self._follower.pause_s = FOLLOWER_PAUSE_S
        if self._term.term_ended:
            self._loop.call_later(RESIGNED_JITTER_S, self._on_read)
        own = record.incarnation == self._incarnation
        stood = self._candidacy
        if own and stood and record.epoch == stood.epoch and not record.resigned:
            self._succeed(record)
        elif own:
            if self._driver is not None:
                self._driver.on_term_read(record)
        elif stood and record.epoch >= stood.epoch:
            self._on_rejected(
                f"{record.node} won the election for epoch {record.epoch}"
            )
        elif self._driver is not None:
            self._on_deposed(f"{record.node} schedules under epoch {record.epoch}")

    def _succeed(self, record):
        """Schedule under the term of a TermRecord of this node, as soon as it may."""
        wait_s = self._term.predecessor_holds_for_s(self._loop.now())
        self._candidacy = self._elected = record

        def begin():
            if self._elected is not record:
                return
            self._candidacy = self._elected = None
            if self._term.transition("elected", "read its own term record back"):
                self._start_driver(record)

        if wait_s:
            self._loop.call_later(wait_s, begin)
        else:
            begin()

    def _start_driver(self, record):
        self._follower.pause_s = SCHEDULER_PAUSE_S
        self._driver = Driver(
            self._loop,
            self._cfg,
            self._platform,
            record,
            self._view,
            self._queue_cfg,
            self._on_deposed,
            self._metrics,
            self._switches,
        )
        for request, seen_at in self._waves.values():
            self._driver.add_wave(request, self._loop.boot_now() - seen_at)

    def _on_deposed(self, why):
        driver, self._driver = self._driver, None
        if driver is not None:
            driver.close()
            self._follower.pause_s = FOLLOWER_PAUSE_S
            self._term.transition("deposed", why)

    def _on_read(self):
        if self._stopping or self._queue_cfg is None or not self._follower.loaded:
            return
        if self._term.election_due(self._loop.now()):
            self._start_candidacy()

    def _start_candidacy(self):
        record = candidate_record(self._term, self._cfg.node, self._incarnation)
        self._term.transition(
            "stood", f"no live scheduler at offset {self._follower.next_offset}"
        )
        self._candidacy = record
        self._follower.pause_s = SCHEDULER_PAUSE_S
        position = WriterPosition(WRITER_NAME, record.epoch, record.beat)

        def done(result):
            failed = not isinstance(result, Appended)
            if not failed or self._candidacy is not record:
                return
            if result.fate is not AppendFate.UNKNOWN:
                self._on_rejected(result.detail)

        def expire():
            # After a rejection the node may stand again under the same epoch.
            if self._candidacy is record:
                self._on_rejected("its term record was not read back in time")

        self._candidacy_topic.append(
            [(KEY_TERM, encode(record))],
            done,
            CANDIDACY_TIMEOUT_S,
            writer=position,
        )
        # A node is elected only by reading its own record back, whatever the answer.
        self._loop.call_later(2 * CANDIDACY_TIMEOUT_S, expire)

    def _on_rejected(self, why):
        self._candidacy = self._elected = None
        self._follower.pause_s = FOLLOWER_PAUSE_S
        self._term.on_rejected(self._loop.now(), why)
