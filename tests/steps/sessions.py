"""Sessions of entries that read late, freeze, die and return, beside one wave.

Each entry folds a prefix of the log, sends requests by ``may_send`` and confirms
drains when it holds nothing. Endpoints run a request until its end, also when the
entry that sent it has died.
"""

import attrs
from bundle import bundle_options, bundle_text
from fleetlog import FleetLog
from hypothesis import strategies as st

from cardamomgrade import records
from cardamomgrade.bundle import parse_bundle
from cardamomgrade.fleet import (
    batches_to_ack,
    drains_to_confirm,
    FleetState,
    fold,
    is_member,
    LEASE_MS,
    may_send,
    vms_to_drain,
)

DEADLINE_MS = 10_000
ENTRIES = ("e1", "e2", "e3")
ACTIONS = (
    "read", "read", "answer", "answer", "send", "send", "send", "open", "drain", "sync",
    "sync", "sync", "reboot", "reboot", "join", "kill", "leave", "wait", "wait_out",
)  # fmt: skip
SESSION_CHOICES = st.lists(
    st.tuples(st.sampled_from(ACTIONS), st.integers(0, 23), st.integers(0, 3)),
    min_size=70,
    max_size=120,
)


@attrs.define
class FakeEntry:
    """An entry's own view; ``fresh_ms`` is when its last read was sent."""

    incarnation: int = 1
    state: FleetState = attrs.field(factory=FleetState)
    fresh_ms: int = -LEASE_MS
    held: dict = attrs.field(factory=dict)


class Session:
    def __init__(self):
        self.log = FleetLog()
        options = bundle_options(a_vms=4, service_t={"deadline_ms": DEADLINE_MS})
        self.log.start(parse_bundle(bundle_text(options)), ENTRIES)
        self.entries = {name: FakeEntry() for name in ENTRIES}
        self.running = []
        self.reboots = 0
        for name in ENTRIES:
            self.read(name, 0)

    def read(self, name, pick):
        entry = self.entries[name]
        for logged in self.log.logged[entry.state.offset :]:
            entry.state = fold(entry.state, logged).state
        entry.fresh_ms = self.log.time_ms

    def answer(self, name, pick):
        entry = self.entries[name]
        for batch in batches_to_ack(entry.state, name, entry.incarnation):
            self.log.append(records.BatchAcked(name, entry.incarnation, batch))
        for batch in drains_to_confirm(entry.state, name, entry.incarnation):
            vms = vms_to_drain(entry.state, batch)
            if not any(entry.held.get(vm, -1) > self.log.time_ms for vm in vms):
                record = records.DrainConfirmed(name, entry.incarnation, batch)
                self.log.append(record)

    def sync(self, name, pick):
        for other in ENTRIES:
            if other != name:
                self.read(other, pick)
                self.answer(other, pick)

    def send(self, name, pick):
        entry = self.entries[name]
        if not is_member(entry.state, name, entry.incarnation):
            return
        fresh = self.log.time_ms - entry.fresh_ms < LEASE_MS
        vm = list(entry.state.vms)[pick % 6]
        if may_send(entry.state, vm, fresh) is True:
            end_ms = self.log.time_ms + (100, DEADLINE_MS)[pick % 2]
            entry.held[vm] = max(end_ms, entry.held.get(vm, 0))
            self.running.append((vm, end_ms))

    def kill(self, name, pick):
        incarnation = self.entries[name].incarnation + 1
        self.entries[name] = FakeEntry(incarnation)
        self.log.append(records.MemberJoined(name, incarnation, "z", "127.0.0.1:1"))

    def leave(self, name, pick):
        entry = self.entries[name]
        if all(end_ms <= self.log.time_ms for end_ms in entry.held.values()):
            self.log.append(records.MemberLeft(name, entry.incarnation))
            self.entries[name] = FakeEntry(entry.incarnation)

    def open(self, name, pick):
        vm, builds_on = list(self.log.state.vms)[pick % 6], self.log.state.offset - 1
        self.log.append(records.BatchOpened("w", 1, [vm], "", builds_on, "c1"))

    def drain(self, name, pick):
        for batch in self.log.state.batches:
            self.log.append(records.DrainStarted(batch, "c1"))

    def reboot(self, name, pick):
        for batch in self.log.state.batches.values():
            for vm in batch.vms:
                refusal = self.log.append(records.RebootOrdered(batch.offset, vm, "c1"))
                if refusal is None:
                    self.reboots += 1
                    self.check_cut(vm)

    def check_cut(self, vm):
        cut = [end for held, end in self.running if held == vm]
        assert not any(end_ms > self.log.time_ms for end_ms in cut), f"cut on {vm}"

    def join(self, name, pick):
        for batch in self.log.state.batches.values():
            for vm in batch.vms:
                fence = self.log.state.vms[vm].fence
                self.log.append(records.VmJoined(batch.offset, vm, fence, "c1"))

    def wait(self, name, pick):
        self.log.time_ms += 200 * pick

    def wait_out(self, name, pick):
        self.log.time_ms += LEASE_MS + DEADLINE_MS


def play_session(choices):
    """Play the chosen actions and return the count of reboots."""
    session = Session()
    for action, pick, entry in choices:
        getattr(session, action)(ENTRIES[entry % len(ENTRIES)], pick)
    return session.reboots
