"""Program ``cardamom-control``: folds the log, plans waves and drives pools.

All controls are alike. Each folds the same records and plans the same intents; a rank
by rendezvous hash delays all but one, and the fold refuses what comes twice.
"""

import sys
import time
from functools import partial

import attrs

from .auth import KEY_MIN_CHARS, shared_key
from .decisions import (
    BundleInForce,
    CaughtUp,
    ControlStarted,
    ControlStopped,
    IntentAppended,
    IntentUnsettled,
    LogReachable,
    PlatformReachable,
    RecordApplied,
    RecordRefused,
    RecordsLost,
    RecordUnreadable,
    SnapshotRestored,
    SnapshotWritten,
    subject_of,
    WaveExplained,
)
from .errors import SettingsError
from .estate import Estate
from .explain import control_status, explain_vm, History
from .follower import Follower
from .intent import IntentBook, rank, shard_of
from .journal import note, start_journal
from .loop import Loop
from .metrics import Metrics
from .net import Net
from .ops import OpsServer
from .reboots import Reboots
from .records import BundleRolled, RebootOrdered
from .refusal import Reason, Refusal
from .replica import Restored
from .retention import Retention
from .settings import (
    address,
    load_settings,
    name as plain_name,
    number,
    option,
    settings_text,
)
from .snapshot import snapshot_records
from .watch import PHASE_REBOOTING, Watch
from .wave import Planner

PROGRAM = "cardamom-control"
LIST_MIN_S = 1.0
LIST_MAX_S = 60.0
LIST_BYTES_PER_S = 1024
CLOSE_LIST_BYTES_PER_S = 3072
CLOSE_RANK = 1
PLAN_INTERVAL_S = 1.0
MS_PER_S = 1000
EXIT_BAD_SETTINGS = 2
SHARD_SNAPSHOT = "snapshot"


@attrs.frozen
class ControlSettings:
    """Settings of one control."""

    name: str = option("node", plain_name, "the name of the entry of this VM")
    zone: str = option("node", plain_name, "a name")
    log: str = option("platform", address, "ip:port of the log service")
    vms: str = option("platform", address, "ip:port of the VM interface")
    listen: str = option("ops", address, "ip:port")
    key: str = option(
        "ops", shared_key, f"at least {KEY_MIN_CHARS} characters", secret=True
    )
    tick_ms: int = option("wave", number(20, 10_000), "20 to 10000", 200)
    snapshot_s: int = option("wave", number(1, 86_400), "1 to 86400", 1800)


class Control:
    """One control process on its loop."""

    def __init__(self, cfg, loop, net):
        self.cfg = cfg
        self._loop = loop
        self._metrics = Metrics()
        self._follower = Follower(
            loop,
            net,
            cfg.log,
            self._on_results,
            on_lost=lambda earliest: note(RecordsLost(earliest)),
            on_bad=lambda offset, detail: note(RecordUnreadable(offset, detail)),
            on_fresh=self._on_fresh,
        )
        self._estate = Estate(loop, net, cfg.vms)
        self._watch = Watch(cfg.name)
        self._history = History()
        self._reboots = Reboots(cfg.name, self._estate, loop.now)
        self._planner = Planner()
        self._intents = IntentBook()
        self._retention = Retention(cfg.snapshot_s)
        self._tick_count = 0
        self._planned = ()
        self._planned_state = self._planned_list = None
        self._planned_s = 0.0
        self._explained = {}
        self._caught_up = False
        self._log_reachable = True
        self._poll_timer = None
        self._platform_reachable = None
        views = {
            "/metrics": lambda query: self._metrics.view(),
            "/ready": self._ready,
            "/status": self._status,
            "/explain": self._explain,
        }
        self.ops = OpsServer(loop, cfg.listen, cfg.key, views, net)

    def start(self):
        """Begin to read the log, to poll the platform and to plan."""
        note(ControlStarted(self.cfg.zone, self.cfg.log, self.cfg.vms))
        self._follower.start()
        self._poll()
        self._loop.call_every(self.cfg.tick_ms / MS_PER_S, self._tick)

    def stop(self):
        """Leave; appends under way are settled by whoever reads them."""
        note(ControlStopped(self._follower.state.offset))
        self._loop.finish()

    def _on_fresh(self):
        if not self._caught_up and not self._follower.replica.waiting:
            self._caught_up = True
            note(CaughtUp(self._follower.state.offset))

    def _on_results(self, results):
        for item in results:
            if isinstance(item, Restored):
                note(SnapshotRestored(item.through))
                continue
            self._history.add(item)
            if item.refusal is not None:
                self._refused(item)
            else:
                self._applied(item)

    def _refused(self, step):
        self._metrics.count("records_refused")
        if self._caught_up:
            record = step.logged.record
            kind, subject = type(record).__name__, subject_of(record)
            note(RecordRefused(step.logged.offset, kind, subject, str(step.refusal)))

    def _applied(self, step):
        self._metrics.count("records_applied")
        offset, record = step.logged.offset, step.logged.record
        if isinstance(record, RebootOrdered):
            self._reboots.ordered(record, offset)
            self._hasten_poll()
        if isinstance(record, BundleRolled):
            self._rolled(step)
        if self._caught_up:
            note(RecordApplied(offset, type(record).__name__, subject_of(record)))

    def _rolled(self, step):
        offset, bundle = step.logged.offset, step.state.bundle
        delay_ms = max(0, int(time.time() * MS_PER_S) - step.logged.time_ms)
        note(BundleInForce(offset, bundle.version, bundle.digest.hex(), delay_ms))
        if self._caught_up:
            self._metrics.time("rollout", delay_ms / MS_PER_S)

    def _hasten_poll(self):
        """Poll as soon as is due now, unless a poll comes before."""
        timer, delay = self._poll_timer, self._list_delay()
        if timer is not None and timer.due > self._loop.now() + delay:
            timer.cancel()
            self._poll_later(delay)

    def _poll_later(self, delay):
        self._poll_timer = self._loop.call_later(delay, self._poll)

    def _poll(self):
        self._poll_timer = None
        self._estate.list_vms(self._listed)

    def _listed(self, result):
        reachable = not isinstance(result, Refusal)
        if reachable != self._platform_reachable:
            self._platform_reachable = reachable
            note(PlatformReachable(reachable, "" if reachable else str(result)))
        if reachable:
            self._metrics.count("list_bytes", self._estate.list_bytes)
            self._watch.take(result, self._loop.now())
        self._poll_later(self._list_delay())

    def _list_delay(self):
        """Return seconds to the next list, which is read whole at a byte rate.

        The rate is higher while a reboot of a pool that is ours is under way.
        """
        rate = CLOSE_LIST_BYTES_PER_S if self._reboots_near() else LIST_BYTES_PER_S
        wanted = self._estate.list_bytes / rate
        return min(max(wanted, LIST_MIN_S), LIST_MAX_S)

    def _reboots_near(self):
        """Return whether a VM reboots of a pool whose first ranks hold this one."""
        state = self._follower.state
        for batch in state.batches.values():
            place = rank(batch.source, self.cfg.name, state.members)
            phases = [state.vms[vm].phase for vm in batch.vms]
            if place <= CLOSE_RANK and PHASE_REBOOTING in phases:
                return True
        return False

    def _tick(self):
        self._tick_count += 1
        if self._follower.feed.reachable != self._log_reachable:
            self._log_reachable = self._follower.feed.reachable
            note(LogReachable(self._log_reachable))
        if not self._follower.fresh():
            self._reboots.withhold()
            return
        begun = time.perf_counter()
        self._replan()
        self._append_due()
        called = self._reboots.call(self._follower.state)
        self._metrics.count("reboots_called", called)
        self._write_snapshot()
        self._metrics.time("tick", time.perf_counter() - begun)

    def _replan(self):
        """Plan anew when the state or the list changed, or time may have told."""
        now = self._loop.now()
        state, listed = self._follower.state, self._watch.listed
        same = state is self._planned_state and listed is self._planned_list
        if same and now - self._planned_s < PLAN_INTERVAL_S:
            return
        self._planned_state, self._planned_list = state, listed
        self._planned_s = now
        timed = attrs.evolve(state, time_ms=self._follower.log_time_ms())
        planned = self._planner.plan(timed, list(listed.values()))
        watched = self._watch.records(state, now)
        self._planned = tuple(watched) + tuple(planned.records)
        self._explain_waves((*planned.explanations, *planned.pools))

    def _explain_waves(self, explanations):
        known = self._explained
        self._explained = {(item.wave, item.pool): item for item in explanations}
        for place, item in self._explained.items():
            if known.get(place) != item:
                note(WaveExplained(item.wave, item.pool, str(item)))

    def _rank(self, record):
        state = self._follower.state
        return rank(shard_of(state, record), self.cfg.name, state.members)

    def _append_due(self):
        for record in self._intents.due(self._planned, self._tick_count, self._rank):
            record = self._own(record)
            self._intents.started(record)
            self._metrics.count("intents_appended")
            kind, subject = type(record).__name__, subject_of(record)
            note(IntentAppended(kind, subject, self._rank(record)))
            self._follower.submit(record, partial(self._settled, record))

    def _own(self, record):
        return attrs.evolve(record, control=self.cfg.name)

    def _settled(self, record, verdict):
        self._intents.settled(record, self._tick_count)
        if isinstance(verdict, Refusal):
            self._metrics.count("intents_unsettled")
            kind, subject = type(record).__name__, subject_of(record)
            note(IntentUnsettled(kind, subject, str(verdict)))

    def _write_snapshot(self):
        state = self._follower.state
        place = rank(SHARD_SNAPSHOT, self.cfg.name, state.members)
        replica, status = self._follower.replica, self._follower.feed.status
        if not self._retention.due(replica, status, place, self._loop.now()):
            return
        parts = snapshot_records(state)
        note(SnapshotWritten(state.offset - 1, len(parts)))
        for part in parts:
            self._follower.feed.append(part)

    def _ready(self, query):
        if not self._follower.fresh():
            return Refusal(Reason.UNAVAILABLE, "the log's tail is not known")
        return self._status(query)

    def _status(self, query):
        return control_status(
            self.cfg.name,
            self._follower,
            tuple(self._explained.values()),
        )

    def _explain(self, query):
        return explain_vm(self._follower.state, self._history, query.get("id"))


def run(cfg):
    """Run a control until it is told to stop."""
    start_journal(PROGRAM, cfg.name)
    loop = Loop()
    control = Control(cfg, loop, Net(loop))
    loop.on_stop(control.stop)
    control.start()
    loop.run()


def main():
    """Run the program with its command line."""
    args = [item for item in sys.argv[1:] if item != "--check-settings"]
    if len(args) != 1 or args[0].startswith("-"):
        sys.exit(f"usage: {PROGRAM} SETTINGS.ini [--check-settings]")
    try:
        cfg = load_settings(ControlSettings, args[0])
    except SettingsError as exc:
        print(exc, file=sys.stderr)
        sys.exit(EXIT_BAD_SETTINGS)
    if "--check-settings" in sys.argv:
        print(settings_text(cfg), end="")
        return
    run(cfg)


if __name__ == "__main__":
    main()
