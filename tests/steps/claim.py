"""Steps for the claim module."""

import tracemalloc

from behave import given, then
from hypothesis import given as generated, settings, strategies as st

from cardamomgrade.claim import claim_key, ClaimState
from cardamomgrade.records import KeyClaimed, KeyReleased, Logged

FIXED = settings(max_examples=300, derandomize=True, deadline=None, database=None)
KEYS = [claim_key("fines", name) for name in "abc"]
STEPS = st.lists(
    st.tuples(
        st.booleans(), st.sampled_from(KEYS), st.integers(0, 5), st.integers(0, 40)
    ),
    max_size=40,
)
MEMORY_MS = 100


def logged(steps):
    time_ms = 0
    for offset, (claims, key, request, pause) in enumerate(steps):
        time_ms += pause
        name = f"r{request}"
        if claims:
            record = KeyClaimed(key, "e1", 1, name, MEMORY_MS)
        else:
            record = KeyReleased(key, name)
        yield Logged(offset, time_ms, record)


@then("generated claims and releases agree with a simple model")
def agrees_with_model(context):
    @FIXED
    @generated(STEPS)
    def check(steps):
        state, owners = ClaimState(), {}
        for item in logged(steps):
            record, now = item.record, item.time_ms
            owner = owners.get(record.key)
            live = owner is not None and now < owner[1] + MEMORY_MS
            won = state.fold(item) is True
            if isinstance(record, KeyClaimed):
                assert won == (not live)
                request = owner[0] if live else record.request
                owners[record.key] = (request, now)
            else:
                assert won == (live and owner[0] == record.request)
                if won:
                    del owners[record.key]
            claim = state.find(record.key, now)
            owner = owners.get(record.key)
            live = owner is not None and now < owner[1] + MEMORY_MS
            assert claim.belongs_to(owner[0]) if live else claim is None

    check()


@then("folding generated claims twice has the effect of folding them once")
def folded_twice(context):
    @FIXED
    @generated(STEPS)
    def check(steps):
        once, again = ClaimState(), ClaimState()
        items = list(logged(steps))
        for item in items:
            result = once.fold(item)
            assert again.fold(item) == result
            for old in items[: item.offset + 1]:
                assert again.fold(old) is not True
        end = once.time_ms
        for key in KEYS:
            assert once.find(key, end) == again.find(key, end)

    check()


@given("claims whose records before offset {earliest:d} are no longer retained")
def truncated(context, earliest):
    context.claims = ClaimState()
    assert context.claims.complete(0, MEMORY_MS)
    context.claims.restart_at(earliest)
    context.earliest = earliest


@then("keys are not known to be free until the period of a key has passed")
def not_taken_as_free(context):
    claims = context.claims
    assert not claims.complete(10**9, MEMORY_MS)
    record = KeyClaimed(KEYS[0], "e1", 1, "r1", MEMORY_MS)
    claims.fold(Logged(context.earliest, 5000, record))
    assert not claims.complete(5000 + MEMORY_MS - 1, MEMORY_MS)
    assert claims.complete(5000 + MEMORY_MS, MEMORY_MS)


@then("{count:d} live claims take less than {limit:d} bytes each")
def claims_are_small(context, count, limit):
    tracemalloc.start()
    state = ClaimState()
    for number in range(count):
        key = claim_key("fines", str(number))
        record = KeyClaimed(key, "e1", 1, f"r{number}", 10**9)
        state.fold(Logged(number, number, record))
    size = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    assert len(state) == count
    assert size / count < limit, size / count


def owners_of(items, start):
    """Return the (offset, key) that a reader from offset ``start`` finds owned."""
    state, known_ms = ClaimState(), 0
    if start:
        state.restart_at(start)
        known_ms = items[start].time_ms + MEMORY_MS
    won = set()
    for item in items[start:]:
        result = state.fold(item)
        claimed = isinstance(item.record, KeyClaimed)
        if claimed and result is True and item.time_ms >= known_ms:
            won.add((item.offset, item.record.key))
    return won


@then("in generated histories a truncated reader's owners are among the full reader's")
def truncated_owners(context):
    pauses = st.sampled_from([1, 2, MEMORY_MS // 2, MEMORY_MS - 2, MEMORY_MS - 1])
    claims = st.tuples(st.just(True), st.just(KEYS[0]), st.integers(0, 5), pauses)

    @FIXED
    @generated(st.lists(claims, min_size=3, max_size=8), st.data())
    def check(steps, data):
        items = list(logged(steps))
        start = data.draw(st.integers(0, len(items) - 1))
        assert owners_of(items, start) <= owners_of(items, 0)

    check()


@then("generated claims have the same outcome whatever period a reader's bundle names")
def same_outcome(context):
    @FIXED
    @generated(STEPS, st.lists(st.integers(1, 200), min_size=40, max_size=40))
    def check(steps, memories):
        state, live = ClaimState(), {}
        for item, memory_ms in zip(logged(steps), memories, strict=False):
            record = item.record
            if isinstance(record, KeyReleased):
                continue
            record = KeyClaimed(record.key, "e1", 1, record.request, memory_ms)
            won = state.fold(Logged(item.offset, item.time_ms, record)) is True
            assert won == (item.time_ms >= live.get(record.key, 0))
            live[record.key] = max(live.get(record.key, 0), item.time_ms + memory_ms)

    check()
