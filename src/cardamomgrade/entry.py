"""Program ``cardamom-entry``: forwards HTTP requests of callers to endpoints."""

import attrs

from . import settings
from .auth import KEY_MIN_CHARS, shared_key
from .command import settings_command
from .dispatch import Dispatcher
from .entry_events import EntryStarted, EntryStopped, EntryStopping
from .errors import SettingsError
from .fleet import LEASE_MS
from .journal import log_event, start_logging
from .keys import Keys
from .leaving import LeavingVms
from .link import Identity
from .loop import Loop
from .member import Member, Seat
from .mesh import Mesh
from .mesh_hooks import MeshHooks, MeshStatus
from .metrics import Metrics
from .net import Net, parse_address
from .ops import OpsServer
from .outcome import refused, response_for
from .quota import FixedQuota
from .recent import RequestHistory
from .records import STREAM_FLEET
from .refusal import Reason, Refusal
from .route import new_request_id
from .server import CONNECTION_LIMIT, HttpServer, ServerLimits
from .settings import option
from .wire import BODY_LIMIT_BYTES

DRAIN_LIMIT_S = 15.0
DRAIN_POLL_S = 0.02
SWEEP_INTERVAL_S = 5.0
DEFAULT_KEY_MEMORY_S = 86400
BODY_MAX_BYTES = 3 * 1024 * 1024
_ADDRESS = "ip:port"


@attrs.frozen
class EntrySettings:
    """Settings of an entry.

    Without peers it uses a fixed quota of every endpoint's slots.
    """

    name: str = option("node", settings.name, "the name of a seat")
    zone: str = option("node", settings.name, "the name of a zone")
    listen: str = option("callers", settings.address, _ADDRESS)
    log: str = option("platform", settings.address, _ADDRESS)
    ops_listen: str = option("ops", settings.address, _ADDRESS, key="listen")
    ops_key: str = option(
        "ops",
        shared_key,
        f"at least {KEY_MIN_CHARS} characters",
        secret=True,
        key="key",
    )
    vms: str = option("platform", settings.address, "ip:port of the VM interface", "")
    mesh_listen: str = option("mesh", settings.address, _ADDRESS, "", key="listen")
    mesh_key: str = option(
        "mesh",
        shared_key,
        f"at least {KEY_MIN_CHARS} characters",
        "",
        secret=True,
        key="key",
    )
    peers: tuple = option(
        settings.PEERS_SECTION, settings.addresses, "lines of name = ip:port", ()
    )
    connections: int = option(
        "limits",
        settings.number(1, 100_000),
        "callers' connections, 1 to 100000",
        CONNECTION_LIMIT,
    )
    body_bytes: int = option(
        "limits",
        settings.number(1, BODY_MAX_BYTES),
        f"bytes of the body of a request or an answer, 1 to {BODY_MAX_BYTES}",
        BODY_LIMIT_BYTES,
    )

    def __attrs_post_init__(self):
        if self.peers and not (self.mesh_listen and self.mesh_key):
            raise SettingsError("[peers] needs listen and key in [mesh]")


@attrs.frozen
class EntryView:
    """The status page of an entry; ``tail`` is the offset of the log's end."""

    name: str
    incarnation: int
    member: bool
    fresh: bool
    log_reachable: bool
    offset: int
    tail: int
    bundle_version: int
    bundle_offset: int
    open_requests: int
    peers: tuple


class Entry:
    """One entry on a loop; ``on_end()`` is called after its orderly shutdown.

    By default that ends the loop.
    """

    def __init__(self, loop, cfg, on_end=None):
        self._loop = loop
        self._net = Net(loop)
        self._cfg = cfg
        self._on_end = on_end or loop.finish
        self.metrics = Metrics()
        self.recent = RequestHistory(self.metrics)
        seat = Seat(cfg.name, cfg.zone, cfg.listen)
        self.mesh = self._make_mesh(seat) if cfg.peers else None
        ledger = self.mesh.ledger if self.mesh else FixedQuota()
        self.leaving_vms = self._make_leaving_vms()
        self.member = self._make_member(seat)
        self.keys = Keys(
            loop, self._net, cfg.log, seat, self._key_memory_ms, self.recent.record
        )
        self.dispatcher = Dispatcher(
            loop,
            self._net,
            self.member,
            ledger,
            self.recent,
            self.keys,
            cfg.body_bytes,
        )
        limits = ServerLimits(cfg.body_bytes, cfg.connections)
        self._server = HttpServer(
            loop, self._net, self.dispatcher.handle, limits, self._refusal_response
        )
        self.ops = OpsServer(loop, cfg.ops_listen, cfg.ops_key, self._views())
        self._stopping = False

    def _make_leaving_vms(self):
        if not self._cfg.vms:
            return None
        return LeavingVms(self._loop, self._net, self._cfg.vms)

    def _make_mesh(self, seat):
        identity = Identity(seat.name, seat.incarnation, self._cfg.mesh_key)
        hooks = MeshHooks(
            status=self._mesh_status,
            on_raw=self._accept_raw,
            on_fresh=lambda sent_s: self.member.extend_lease(sent_s),
            append=self._append_for_peer,
            on_missing=self._on_missing,
            on_superseded=lambda incarnation: self.stop(),
            on_tokens=lambda: self.dispatcher.send_queued(),
        )
        return Mesh(self._loop, self._net, identity, self._cfg.peers, hooks)

    def _make_member(self, seat):
        hooks = {"leaving_vms": self.leaving_vms or ()}
        if self.mesh:
            hooks |= {
                "on_first_incarnation": self.mesh.ledger.record_first_incarnation,
                "on_vacant_seats": self.mesh.ledger.record_vacant_seats,
                "on_raw": self.mesh.catchup.store,
                "relay": lambda record: self.mesh.relay(STREAM_FLEET, record),
                "outage": lambda members: self.mesh.peer_reports_outage(
                    members, LEASE_MS
                ),
            }
        return Member(
            self._loop,
            self._net,
            self._cfg.log,
            seat,
            on_change=lambda: self.dispatcher.update(),
            on_replaced=self.stop,
            held=lambda vm: self.dispatcher.held(vm),
            **hooks,
        )

    def _mesh_status(self):
        self.member.update_freshness()
        follower = self.member.follower
        return MeshStatus(
            follower.feed.next_offset, self.keys.next_offset, follower.tail_read_s
        )

    def _accept_raw(self, stream, raw):
        if stream == STREAM_FLEET:
            self.member.follower.feed.accept(raw)

    def _append_for_peer(self, stream, record):
        if stream == STREAM_FLEET:
            self.member.follower.feed.append(record)

    def _on_missing(self, stream, earliest):
        """Restart at the peers' earliest record when they lack the next one.

        Only while the log is unreachable, since the log may still have it.
        """
        follower = self.member.follower
        if not follower.feed.reachable and earliest > follower.feed.next_offset:
            follower.restart_at(earliest)

    def _views(self):
        return {
            "/metrics": lambda query: self.metrics.view(),
            "/ready": self._ready,
            "/status": lambda query: self.view(),
            "/explain": lambda query: self.recent.explain(query.get("id")),
        }

    def _ready(self, query):
        if self._stopping or self.member.state.bundle is None:
            return Refusal(Reason.UNAVAILABLE, "leaving, or no bundle is in force")
        return self.view()

    def view(self):
        """Return the current EntryView."""
        member, follower = self.member, self.member.follower
        bundle = member.state.bundle
        return EntryView(
            self._cfg.name,
            member.seat.incarnation,
            member.is_member(),
            follower.fresh(),
            follower.feed.reachable,
            member.state.offset,
            follower.feed.status.tail,
            bundle.version if bundle else 0,
            member.state.bundle_offset,
            self.dispatcher.open_requests,
            tuple(self.mesh.alive()) if self.mesh else (),
        )

    def start(self):
        """Listen for callers and start to read the log; return the port for callers."""
        port = self._server.listen(*parse_address(self._cfg.listen))
        if self.mesh:
            self.mesh.start(self._cfg.mesh_listen)
        if self.leaving_vms:
            self.leaving_vms.start()
        self.member.start()
        self.keys.start()
        self._loop.call_every(SWEEP_INTERVAL_S, self.dispatcher.sweep)
        self._loop.on_stop(self.stop)
        log_event(EntryStarted(self._cfg.listen, self.member.seat.incarnation))
        return port

    def stop(self):
        """Shut down: finish open requests, append a MemberLeft, end the loop.

        After DRAIN_LIMIT_S the open requests are abandoned, without a MemberLeft.
        """
        if self._stopping:
            return
        self._stopping = True
        log_event(EntryStopping(self.dispatcher.open_requests))
        self._net.close_listeners()
        self.dispatcher.close()
        self._server.drain()
        self._drain(self._loop.now() + DRAIN_LIMIT_S)

    def _drain(self, limit):
        unfinished = self.dispatcher.open_requests
        if unfinished and self._loop.now() < limit:
            self._loop.call_later(DRAIN_POLL_S, lambda: self._drain(limit))
            return

        def on_left(confirmed):
            log_event(EntryStopped(unfinished, confirmed))
            if self.mesh:
                self.mesh.close()
            self._on_end()

        if unfinished:
            on_left(False)
        else:
            self.member.leave(on_left)

    def _key_memory_ms(self):
        bundle = self.member.state.bundle
        return (bundle.key_memory_s if bundle else DEFAULT_KEY_MEMORY_S) * 1000

    def _refusal_response(self, status, detail):
        request_id = new_request_id(self._cfg.name)
        return response_for(request_id, refused(status, detail))


def run(cfg):
    """Run an entry until it is stopped."""
    start_logging("cardamom-entry", cfg.name)
    loop = Loop()
    Entry(loop, cfg).start()
    loop.run()


main = settings_command(
    EntrySettings,
    run,
    "Serve callers from the settings in PATH.\n\nExample: cardamom-entry entry.ini",
)

if __name__ == "__main__":
    main()
