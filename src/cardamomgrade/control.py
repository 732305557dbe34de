"""Program ``cardamom-control``: folds the log, plans waves and orders reboots.

All controls have the same role. Each folds the same records and plans the same
intents, which are records to append to the log. A rendezvous hash ranks the controls
for each intent; the first appends it at once, the others only after a delay. The fold
refuses a record that was appended twice.
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
from .estate import PlatformClient
from .explain import control_status, explain_vm, History
from .follower import Follower
from .intent import IntentSchedule, rank, shard_of
from .journal import log_event, start_logging
from .loop import Loop
from .metrics import Metrics
from .net import Net
from .ops import OpsServer
from .reboots import RebootCaller
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
from .watch import PHASE_REBOOTING, VmWatch
from .wave import Planner

PROGRAM = "cardamom-control"
LIST_INTERVAL_MIN_S = 1.0
LIST_INTERVAL_MAX_S = 60.0
LIST_BYTES_PER_S = 1024
MONITOR_LIST_BYTES_PER_S = 3072
MONITOR_RANK_MAX = 1
PLAN_INTERVAL_S = 1.0
MS_PER_S = 1000
EXIT_BAD_SETTINGS = 2
SNAPSHOT_SHARD = "snapshot"


@attrs.frozen
class ControlSettings:
    """Settings of one control process."""

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
    """A control that runs on an event loop."""

    def __init__(self, cfg, loop, net):
        self.cfg = cfg
        self._loop = loop
        self._metrics = Metrics()
        self._follower = Follower(
            loop,
            net,
            cfg.log,
            self._on_results,
            on_truncated=lambda earliest: log_event(RecordsLost(earliest)),
            on_unreadable=lambda offset, detail: log_event(
                RecordUnreadable(offset, detail)
            ),
            on_fresh=self._on_fresh,
        )
        self._platform = PlatformClient(loop, net, cfg.vms)
        self._watch = VmWatch(cfg.name)
        self._history = History()
        self._reboots = RebootCaller(cfg.name, self._platform, loop.now)
        self._planner = Planner()
        self._intents = IntentSchedule()
        self._retention = Retention(cfg.snapshot_s)
        self._tick_count = 0
        self._planned_records = ()
        self._planned_state = self._planned_list = None
        self._planned_at_s = 0.0
        self._explanations = {}
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
        """Start reading the log, polling the platform and planning."""
        log_event(ControlStarted(self.cfg.zone, self.cfg.log, self.cfg.vms))
        self._follower.start()
        self._poll()
        self._loop.call_every(self.cfg.tick_ms / MS_PER_S, self._tick)

    def stop(self):
        """Stop without waiting for appends in progress.

        Other processes see their outcome when they read the log.
        """
        log_event(ControlStopped(self._follower.state.offset))
        self._loop.finish()

    def _on_fresh(self):
        if not self._caught_up and not self._follower.replica.awaiting_snapshot:
            self._caught_up = True
            log_event(CaughtUp(self._follower.state.offset))

    def _on_results(self, results):
        for item in results:
            if isinstance(item, Restored):
                log_event(SnapshotRestored(item.through))
                continue
            self._history.add(item)
            if item.refusal is not None:
                self._on_refused(item)
            else:
                self._on_applied(item)

    def _on_refused(self, folded):
        self._metrics.count("records_refused")
        if self._caught_up:
            record = folded.logged.record
            record_type, subject = type(record).__name__, subject_of(record)
            log_event(
                RecordRefused(
                    folded.logged.offset, record_type, subject, str(folded.refusal)
                )
            )

    def _on_applied(self, folded):
        self._metrics.count("records_applied")
        offset, record = folded.logged.offset, folded.logged.record
        if isinstance(record, RebootOrdered):
            self._reboots.add_order(record, offset)
            self._reschedule_poll()
        if isinstance(record, BundleRolled):
            self._on_rolled(folded)
        if self._caught_up:
            log_event(RecordApplied(offset, type(record).__name__, subject_of(record)))

    def _on_rolled(self, folded):
        offset, bundle = folded.logged.offset, folded.state.bundle
        delay_ms = max(0, int(time.time() * MS_PER_S) - folded.logged.time_ms)
        log_event(BundleInForce(offset, bundle.version, bundle.digest.hex(), delay_ms))
        if self._caught_up:
            self._metrics.time("rollout", delay_ms / MS_PER_S)

    def _reschedule_poll(self):
        """Bring the next poll forward if the interval has become shorter."""
        timer, delay = self._poll_timer, self._poll_delay_s()
        if timer is not None and timer.due > self._loop.now() + delay:
            timer.cancel()
            self._schedule_poll(delay)

    def _schedule_poll(self, delay):
        self._poll_timer = self._loop.call_later(delay, self._poll)

    def _poll(self):
        self._poll_timer = None
        self._platform.list_vms(self._on_listed)

    def _on_listed(self, result):
        reachable = not isinstance(result, Refusal)
        if reachable != self._platform_reachable:
            self._platform_reachable = reachable
            log_event(PlatformReachable(reachable, "" if reachable else str(result)))
        if reachable:
            self._metrics.count("list_bytes", self._platform.list_bytes)
            self._watch.update(result, self._loop.now())
        self._schedule_poll(self._poll_delay_s())

    def _poll_delay_s(self):
        """Return the seconds until the next poll of the VM list.

        The interval bounds the average bytes per second, as each poll reads the
        whole list. The rate is higher while this control monitors a reboot.
        """
        rate = MONITOR_LIST_BYTES_PER_S if self._monitors_reboot() else LIST_BYTES_PER_S
        wanted_s = self._platform.list_bytes / rate
        return min(max(wanted_s, LIST_INTERVAL_MIN_S), LIST_INTERVAL_MAX_S)

    def _monitors_reboot(self):
        """Return whether a VM is rebooting in a pool that this control monitors.

        It monitors a pool if its rank there is at most MONITOR_RANK_MAX.
        """
        state = self._follower.state
        for batch in state.batches.values():
            own_rank = rank(batch.source, self.cfg.name, state.members)
            phases = [state.vms[vm].phase for vm in batch.vms]
            if own_rank <= MONITOR_RANK_MAX and PHASE_REBOOTING in phases:
                return True
        return False

    def _tick(self):
        self._tick_count += 1
        if self._follower.feed.reachable != self._log_reachable:
            self._log_reachable = self._follower.feed.reachable
            log_event(LogReachable(self._log_reachable))
        if not self._follower.fresh():
            self._reboots.log_withheld()
            return
        start_s = time.perf_counter()
        self._replan()
        self._append_due()
        calls = self._reboots.call_due(self._follower.state)
        self._metrics.count("reboots_called", calls)
        self._write_snapshot()
        self._metrics.time("tick", time.perf_counter() - start_s)

    def _replan(self):
        """Plan again if the state or the VM list changed, or after PLAN_INTERVAL_S.

        The interval is for decisions that depend on the time alone.
        """
        now = self._loop.now()
        state, listed = self._follower.state, self._watch.listed
        unchanged = state is self._planned_state and listed is self._planned_list
        if unchanged and now - self._planned_at_s < PLAN_INTERVAL_S:
            return
        self._planned_state, self._planned_list = state, listed
        self._planned_at_s = now
        present_state = attrs.evolve(state, time_ms=self._follower.log_time_ms())
        planned = self._planner.plan(present_state, list(listed.values()))
        watched = self._watch.records(state, now)
        self._planned_records = tuple(watched) + tuple(planned.records)
        self._explain_waves((*planned.explanations, *planned.pool_explanations))

    def _explain_waves(self, explanations):
        previous = self._explanations
        self._explanations = {(item.wave, item.pool): item for item in explanations}
        for key, item in self._explanations.items():
            if previous.get(key) != item:
                log_event(WaveExplained(item.wave, item.pool, str(item)))

    def _rank(self, record):
        state = self._follower.state
        return rank(shard_of(state, record), self.cfg.name, state.members)

    def _append_due(self):
        for record in self._intents.due(
            self._planned_records, self._tick_count, self._rank
        ):
            record = self._with_control(record)
            self._intents.mark_started(record)
            self._metrics.count("intents_appended")
            record_type, subject = type(record).__name__, subject_of(record)
            log_event(IntentAppended(record_type, subject, self._rank(record)))
            self._follower.submit(record, partial(self._on_settled, record))

    def _with_control(self, record):
        return attrs.evolve(record, control=self.cfg.name)

    def _on_settled(self, record, outcome):
        self._intents.mark_settled(record, self._tick_count)
        if isinstance(outcome, Refusal):
            self._metrics.count("intents_unsettled")
            record_type, subject = type(record).__name__, subject_of(record)
            log_event(IntentUnsettled(record_type, subject, str(outcome)))

    def _write_snapshot(self):
        state = self._follower.state
        own_rank = rank(SNAPSHOT_SHARD, self.cfg.name, state.members)
        replica, status = self._follower.replica, self._follower.feed.status
        if not self._retention.due(replica, status, own_rank, self._loop.now()):
            return
        parts = snapshot_records(state)
        log_event(SnapshotWritten(state.offset - 1, len(parts)))
        for part in parts:
            self._follower.feed.append(part)

    def _ready(self, query):
        if not self._follower.fresh():
            return Refusal(
                Reason.UNAVAILABLE,
                "the control has not read the tail of the log recently",
            )
        return self._status(query)

    def _status(self, query):
        return control_status(
            self.cfg.name,
            self._follower,
            tuple(self._explanations.values()),
        )

    def _explain(self, query):
        return explain_vm(self._follower.state, self._history, query.get("id"))


def run(cfg):
    """Run a control until it receives a signal to stop."""
    start_logging(PROGRAM, cfg.name)
    loop = Loop()
    control = Control(cfg, loop, Net(loop))
    loop.on_stop(control.stop)
    control.start()
    loop.run()


def main():
    """Run the program with the arguments of the command line."""
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
