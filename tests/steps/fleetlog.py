"""A fleet log held in memory, and histories that hypothesis chooses."""

from bundle import bundle_options, bundle_text
from hypothesis import strategies as st

from cardamomgrade import records
from cardamomgrade.batch import missing_acks, missing_confirms
from cardamomgrade.bundle import apply_sections, diff_sections, parse_bundle
from cardamomgrade.fleet import FleetState, fold, LEASE_MS

STEPS_MAX = 90
PATH = (20, 21, 21, 21, 22, 23, 23, 23, 24, 25)
KINDS = sorted(kind for kind in records._CLASSES if kind < 30)
HISTORY_CHOICES = st.lists(
    st.tuples(
        st.sampled_from([*KINDS, *PATH * 3]),
        st.integers(0, 999),
        st.integers(0, 2),
        st.sampled_from([0, 10, 1000, 17_000]),
    ),
    min_size=60,
    max_size=STEPS_MAX,
)


class FleetLog:
    """Folds what is appended and keeps it."""

    def __init__(self):
        self.state = FleetState()
        self.logged = []
        self.taken = set()
        self.last_batch = -1
        self.time_ms = 0

    def append(self, record, after_ms=0):
        """Append a record after a time and return its Refusal or None."""
        self.time_ms += after_ms
        logged = records.Logged(len(self.logged), self.time_ms, record)
        self.logged.append(logged)
        folded = fold(self.state, logged)
        self.state = folded.state
        if folded.refusal is None:
            self.taken.add(type(record))
            if isinstance(record, records.BatchOpened):
                self.last_batch = logged.offset
        return folded.refusal

    def proposal(self, bundle, parent=None):
        """Return the BundleProposed of a bundle with the parent in force."""
        old = self.state.bundle
        sections = old.sections if old else ()
        digest = old.digest if old else b""
        if parent is not None and parent != digest:
            entry = self.state.proposals[parent].difference
            digest, sections = parent, apply_difference(sections, entry)
        difference = diff_sections(sections, bundle.sections)
        return records.BundleProposed(
            bundle.version,
            digest,
            bundle.digest,
            bundle.author,
            difference.changed,
            difference.removed,
        )

    def roll(self, bundle):
        """Propose, sign off and roll a bundle; return the last Refusal or None."""
        self.append(self.proposal(bundle))
        self.append(records.BundleSigned(bundle.digest, "eve"))
        return self.append(records.BundleRolled(bundle.digest, "ada"))

    def start(self, bundle, entries=("e1", "e2")):
        """Roll a first bundle and let the entries join."""
        assert self.roll(bundle) is None
        for entry in entries:
            self.append(records.MemberJoined(entry, 1, "z", "127.0.0.1:1"))


def apply_difference(sections, difference):
    return apply_sections(sections, difference.changed, difference.removed)


def history(choices):
    """Return a FleetLog of chosen records, checked after each."""
    log = FleetLog()
    log.start(parse_bundle(bundle_text(bundle_options(a_vms=6, b_vms=4))))
    for kind, pick, incarnation, after_ms in choices:
        before = log.state
        record = chosen_record(log, kind, pick, incarnation)
        refusal = log.append(record, after_ms)
        check_state(before, log.state, record, refusal)
    return log


def chosen_record(log, kind, pick, incarnation):
    """Return a record that is valid often enough to get far."""
    state = log.state
    batches = list(state.batches)
    batch = batches[pick % len(batches)] if batches else pick
    entry = chosen_entry(state, kind, batch, pick)
    member = state.members.get(entry)
    held = member.incarnation if member else 1
    vms = list(state.vms)
    vm = vms[pick % len(vms)]
    in_batch = [name for name in vms if state.vms[name].batch == batch]
    batch_vm = in_batch[pick % len(in_batch)] if in_batch else vm
    if kind == 1:
        return next_bundle(log, pick)
    proposals = list(state.proposals)
    digest = proposals[pick % len(proposals)] if proposals else b"?"
    values = {
        2: lambda: (digest, "eve"),
        3: lambda: (digest, "ada"),
        10: lambda: (entry, held + incarnation, "z", "127.0.0.1:1"),
        11: lambda: (entry, held),
        12: lambda: (entry, held, "c1"),
        20: lambda: opening(state, vm, incarnation + 1, pick),
        21: lambda: (entry, held, batch),
        22: lambda: (batch, "c1"),
        23: lambda: (entry, held, batch),
        24: lambda: (batch, batch_vm, "c1"),
        25: lambda: (batch, batch_vm, state.vms[batch_vm].fence, "c1"),
        26: lambda: (batch, "test", "c1"),
        27: lambda: (vm, "c1"),
        28: lambda: (vm, "c1"),
    }
    return records._CLASSES[kind](*values[kind]())


def chosen_entry(state, kind, batch, pick):
    missing = ()
    if kind == 21 and batch in state.batches:
        missing = missing_acks(state, state.batches[batch])
    if kind == 23 and batch in state.batches:
        missing = missing_confirms(state, state.batches[batch])
    names = missing or ("e1", "e2", "e3")
    return names[pick % len(names)]


def opening(state, vm, count, pick):
    pool = state.vms[vm].pool
    target = state.bundle.vms[vm].pool
    vms = list(state.vms.pool(pool))[:count] if pick % 2 else [vm]
    move = "" if target == pool else target
    return "w", state.bundle.waves["w"].round, vms, move, state.offset - 1, "c1"


def next_bundle(log, pick):
    version = log.state.bundle.version + 1
    estate = bundle_options(
        version=version,
        a_vms=6 + pick % 2,
        b_vms=4,
        moved=(f"a{pick % 6}",),
        wave_w={"round": version},
        service_s={"min_serving": pick % 4, "deadline_ms": 5000 + pick},
    )
    return log.proposal(parse_bundle(bundle_text(estate)))


def check_state(before, state, record, refusal):
    """Assert what must hold after every record."""
    check_pools(state)
    check_batches(state)
    assert state.bundle_offset >= before.bundle_offset
    rolled = refusal is None and isinstance(record, records.BundleRolled)
    assert rolled == (state.bundle is not before.bundle)
    if refusal is not None:
        assert state.vms is before.vms and state.batches is before.batches
    elif isinstance(record, records.DrainStarted):
        check_drain(before, state, record)
    elif isinstance(record, records.RebootOrdered):
        check_reboot(state, state.batches[record.batch])


def check_pools(state):
    names = [vm for pool in state.vms.pools() for vm in state.vms.pool(pool)]
    assert sorted(names) == sorted(state.bundle.vms) == sorted(state.vms)
    for vm in state.vms.values():
        assert vm.name in state.vms.pool(vm.pool) and vm.pool in state.bundle.pools


def check_batches(state):
    taken = []
    for batch in state.batches.values():
        taken += {batch.source, batch.pool or batch.source}
        for name in batch.vms:
            if name not in batch.joined:
                assert state.vms[name].batch == batch.offset
                assert state.vms[name].pool == batch.source
    assert len(taken) == len(set(taken)), f"two batches on a pool: {taken}"
    for vm in state.vms.values():
        assert (vm.batch in state.batches) == (vm.phase != "serving")


def check_drain(before, state, record):
    batch = state.batches[record.batch]
    assert state.members and not missing_acks(before, batch)
    active = [vm for vm in state.vms.pool(batch.source).values() if vm.active]
    services = state.bundle.services.values()
    required = [item.min_serving for item in services if item.pool == batch.source]
    needed = max(required, default=0)
    assert len(active) >= needed
    check_rack(state, batch.source, active, needed)


def check_rack(state, pool, active, needed):
    """Assert that any rack may fail, if the pool can lose one VM and any rack."""
    places = state.bundle.vms
    every = [places[name].rack for name in state.vms.pool(pool)]
    if min(len(every) - 1 - every.count(rack) for rack in every) < needed:
        return
    for rack in every:
        left = [vm for vm in active if places[vm.name].rack != rack]
        assert len(left) >= needed, f"pool {pool} can't lose {rack}"


def check_reboot(state, batch):
    waited_ms = state.time_ms - batch.drain_time_ms
    longest_ms = max(item.deadline_ms for item in state.bundle.services.values())
    if waited_ms < LEASE_MS + longest_ms:
        assert state.members and not missing_confirms(state, batch)
