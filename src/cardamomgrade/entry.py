"""Program ``cardamom-entry``: HTTP from callers to endpoints."""

import attrs

from . import settings
from .command import settings_command
from .dispatch import Dispatcher
from .entry_events import EntryStarted, EntryStopped, EntryStopping
from .journal import note, start_journal
from .keys import Keys
from .loop import Loop
from .member import Member, Seat
from .net import Net, parse_address
from .outcome import refused, response_for
from .recent import Recent
from .route import new_request_id
from .server import CONNECTION_LIMIT, HttpServer, ServerLimits
from .settings import option
from .share import FixedShare
from .wire import BODY_LIMIT_BYTES

FINISH_LIMIT_S = 15.0
FINISH_POLL_S = 0.02
SWEEP_S = 5.0
KEY_MEMORY_S = 86400
_ADDRESS = "ip:port"


@attrs.frozen
class EntrySettings:
    """Settings of an entry."""

    name: str = option("node", settings.name, "the name of a seat")
    zone: str = option("node", settings.name, "the name of a zone")
    listen: str = option("callers", settings.address, _ADDRESS)
    log: str = option("platform", settings.address, _ADDRESS)
    connections: int = option(
        "limits",
        settings.number(1, 100_000),
        "callers' connections, 1 to 100000",
        CONNECTION_LIMIT,
    )
    body_bytes: int = option(
        "limits",
        settings.number(1, 2**30),
        "bytes of a request's body, 1 to 2^30",
        BODY_LIMIT_BYTES,
    )


class Entry:
    """One entry on a loop."""

    def __init__(self, loop, cfg):
        self._loop = loop
        self._net = Net(loop)
        self._cfg = cfg
        self.recent = Recent()
        seat = Seat(cfg.name, cfg.zone, cfg.listen)
        self.member = Member(
            loop,
            self._net,
            cfg.log,
            seat,
            on_change=self._on_change,
            on_replaced=self.stop,
            held=self._held,
        )
        self.keys = Keys(
            loop, self._net, cfg.log, seat, self._memory_ms, self.recent.decide
        )
        self.dispatcher = Dispatcher(
            loop, self._net, self.member, FixedShare(), self.recent, self.keys
        )
        limits = ServerLimits(cfg.body_bytes, cfg.connections)
        self._server = HttpServer(
            loop, self._net, self.dispatcher.handle, limits, self._refusal
        )
        self._stopping = False

    def start(self):
        """Listen for callers and begin to read the log; return the port."""
        port = self._server.listen(*parse_address(self._cfg.listen))
        self.member.start()
        self.keys.start()
        self._loop.call_every(SWEEP_S, self.dispatcher.sweep)
        self._loop.on_stop(self.stop)
        note(EntryStarted(self._cfg.listen, self.member.seat.incarnation))
        return port

    def stop(self):
        """Leave in order: finish what is in flight, tell the log, end the loop."""
        if self._stopping:
            return
        self._stopping = True
        note(EntryStopping(self.dispatcher.open_requests))
        self._net.close_listeners()
        self.dispatcher.close()
        self._server.drain()
        self._finish(self._loop.now() + FINISH_LIMIT_S)

    def _finish(self, limit):
        left = self.dispatcher.open_requests
        if left and self._loop.now() < limit:
            self._loop.call_later(FINISH_POLL_S, lambda: self._finish(limit))
            return

        def gone(confirmed):
            note(EntryStopped(left, confirmed))
            self._loop.finish()

        if left:
            gone(False)
        else:
            self.member.leave(gone)

    def _on_change(self):
        self.dispatcher.update()

    def _held(self, vm):
        return self.dispatcher.held(vm)

    def _memory_ms(self):
        bundle = self.member.state.bundle
        return (bundle.key_memory_s if bundle else KEY_MEMORY_S) * 1000

    def _refusal(self, status, detail):
        request_id = new_request_id(self._cfg.name)
        return response_for(request_id, refused(status, detail))


def run(cfg):
    """Run an entry until it is told to stop."""
    start_journal("cardamom-entry", cfg.name)
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
