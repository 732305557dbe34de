"""Steps for the snapshot module."""

import attrs
from behave import then
from fleetlog import history, HISTORY_CHOICES
from hypothesis import given, settings, strategies as st

from cardamomgrade import snapshot
from cardamomgrade.fleet import FleetState, fold, fold_all
from cardamomgrade.records import decode_record, encode_record, Logged
from cardamomgrade.refusal import Refusal

EXAMPLES = 50
FIXED = settings(max_examples=EXAMPLES, derandomize=True, deadline=None, database=None)
PART_BYTES = 100
CUT_OFFSETS = st.integers(0, 70)


def parts_of(state):
    """Return the parts of a state's snapshot, in small parts, encoded and decoded."""
    default, snapshot.PART_BYTES = snapshot.PART_BYTES, PART_BYTES
    try:
        parts = snapshot.snapshot_records(state)
    finally:
        snapshot.PART_BYTES = default
    return [decode_record(encode_record(part)) for part in parts]


@then("generated histories continued from a snapshot at any offset give the same state")
def step_any_cut(context):
    @FIXED
    @given(HISTORY_CHOICES, CUT_OFFSETS, st.randoms(use_true_random=False))
    def check(choices, cut, rng):
        log = history(choices)
        before = fold_all(FleetState(), log.logged[:cut])
        parts = parts_of(before)
        rng.shuffle(parts)
        restored = snapshot.restore(parts)
        assert restored == before, restored
        assert list(restored.proposals) == list(before.proposals)
        assert fold_all(restored, log.logged[cut:]) == log.state

    check()


@then("generated histories with snapshot records fold to the same state")
def step_in_stream(context):
    @FIXED
    @given(HISTORY_CHOICES, CUT_OFFSETS)
    def check(choices, cut):
        log = history(choices)
        before = fold_all(FleetState(), log.logged[:cut])
        state = before
        for part in parts_of(before) + parts_of(before):
            folded = fold(state, Logged(state.offset, state.time_ms, part))
            assert folded.refusal is None
            state = folded.state
        assert attrs.evolve(state, offset=before.offset) == before

    check()


@then("snapshots with a generated loss or alteration of a part are refused")
def step_torn(context):
    @FIXED
    @given(
        HISTORY_CHOICES, st.integers(0, 99), st.integers(0, 4), st.binary(max_size=9)
    )
    def check(choices, pick, damage, data):
        log = history(choices)
        parts = parts_of(log.state)
        other = parts_of(fold_all(FleetState(), log.logged[:-1]))
        index = pick % len(parts)
        part = parts[index]
        if damage == 0:
            del parts[index]
        elif damage == 1:
            parts[index] = other[pick % len(other)]
        elif damage == 2:
            parts[index] = attrs.evolve(part, data=data + part.data[1:] + b"x")
        elif damage == 3:
            parts = [attrs.evolve(item, through=item.through + 1) for item in parts]
        else:
            whole = snapshot.hashlib.sha256(data).digest()
            parts = [attrs.evolve(part, part=0, parts=1, digest=whole, data=data)]
        assert isinstance(snapshot.restore(parts), Refusal)

    check()
