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
        record = KeyClaimed(key, "e1", 1, name) if claims else KeyReleased(key, name)
        yield Logged(offset, time_ms, record)


@then("generated claims and releases agree with a plain model")
def model(context):
    @FIXED
    @generated(STEPS)
    def check(steps):
        state, owners = ClaimState(), {}
        for item in logged(steps):
            record, now = item.record, item.time_ms
            owner = owners.get(record.key)
            live = owner is not None and now < owner[1] + MEMORY_MS
            won = state.fold(item, MEMORY_MS) is True
            if isinstance(record, KeyClaimed):
                assert won == (not live)
                if won:
                    owners[record.key] = (record.request, now)
            else:
                assert won == (live and owner[0] == record.request)
                if won:
                    del owners[record.key]
            claim = state.find(record.key, now, MEMORY_MS)
            owner = owners.get(record.key)
            live = owner is not None and now < owner[1] + MEMORY_MS
            assert claim.belongs_to(owner[0]) if live else claim is None

    check()


@then("folding generated claims twice has the effect of folding them once")
def twice(context):
    @FIXED
    @generated(STEPS)
    def check(steps):
        once, again = ClaimState(), ClaimState()
        items = list(logged(steps))
        for item in items:
            result = once.fold(item, MEMORY_MS)
            assert again.fold(item, MEMORY_MS) == result
            for old in items[: item.offset + 1]:
                assert again.fold(old, MEMORY_MS) is not True
        end = once.time_ms
        for key in KEYS:
            assert once.find(key, end, MEMORY_MS) == again.find(key, end, MEMORY_MS)

    check()


@given("claims whose records before offset {earliest:d} are no longer retained")
def truncated(context, earliest):
    context.claims = ClaimState()
    assert context.claims.complete(0, MEMORY_MS)
    context.claims.lose(earliest)
    context.earliest = earliest


@then("keys are not known to be free before the time of a key has passed")
def not_guessed(context):
    claims = context.claims
    assert not claims.complete(10**9, MEMORY_MS)
    record = KeyClaimed(KEYS[0], "e1", 1, "r1")
    claims.fold(Logged(context.earliest, 5000, record), MEMORY_MS)
    assert not claims.complete(5000 + MEMORY_MS - 1, MEMORY_MS)
    assert claims.complete(5000 + MEMORY_MS, MEMORY_MS)


@then("{count:d} live claims take less than {limit:d} bytes each")
def lean(context, count, limit):
    tracemalloc.start()
    state = ClaimState()
    for number in range(count):
        record = KeyClaimed(claim_key("fines", str(number)), "e1", 1, f"r{number}")
        state.fold(Logged(number, number, record), 10**9)
    size = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    assert len(state) == count
    assert size / count < limit, size / count
