"""Steps for the membership module."""

from behave import then
from hypothesis import given, settings, strategies as st

from cardamomgrade.membership import (
    DOWN_AFTER_S,
    handed_on_proof,
    Membership,
    NO_PROOF,
    PeerState,
    Pings,
    SUSPECT_AFTER_S,
)
from cardamomgrade.messages import Heartbeat

FIXED = settings(max_examples=200, derandomize=True, deadline=None, database=None)


@then("a live peer without messages is suspect after 3 heartbeats and down after 6")
def step_silence(context):
    members = Membership(["b"])
    assert members.heard("b", 7, 0.0).after is PeerState.ALIVE
    found = {}
    for tick in range(80):
        now = tick / 10
        for change in members.sweep(now):
            found[change.after] = now
    assert found == {
        PeerState.SUSPECT: SUSPECT_AFTER_S,
        PeerState.DOWN: DOWN_AFTER_S,
    }
    assert members.heard("b", 7, 9.0).before is PeerState.DOWN
    assert members.alive() == ["b"]


@then("after a pause of 60 seconds no peer is suspect")
def step_pause(context):
    members = Membership(["b"])
    members.heard("b", 1, 0.0)
    members.sweep(1.0)
    assert members.sweep(61.0) == []
    assert members.sweep(62.0) == []
    assert [change.after for change in members.sweep(64.5)] == [PeerState.SUSPECT]


@then("generated messages never restore an incarnation that was replaced")
def step_incarnations(context):
    @FIXED
    @given(st.lists(st.integers(1, 9), min_size=1))
    def check(incarnations):
        members = Membership(["b"])
        for now, incarnation in enumerate(incarnations):
            change = members.heard("b", incarnation, now)
            if change is not None and now:
                assert change.incarnation > change.old_incarnation
        assert members.incarnation("b") == max(incarnations)

    check()


@then("generated heartbeats never make an entry fresher than the log allows")
def step_proofs(context):
    offset = st.integers(0, 3)
    delay = st.integers(0, 3000)

    @FIXED
    @given(offset, offset, delay, delay, delay, st.booleans())
    def check(peer_offset, own, proof_ms, ping_ms, wait_ms, proven):
        """The peer's clock differs; it answers ``wait_ms`` after the ping left."""
        pings = Pings()
        sequence = pings.send(ping_ms / 1000)
        age_ms = ping_ms + wait_ms - min(proof_ms, ping_ms + wait_ms)
        beat = Heartbeat(
            1, sequence, peer_offset, 0, age_ms if proven else NO_PROOF, False, False
        )
        found = handed_on_proof(beat, pings.sent_s(beat.echo), own)
        if not proven or own < peer_offset:
            assert found is None
        else:
            assert found <= proof_ms / 1000 + 1e-9
        assert handed_on_proof(beat, pings.sent_s(sequence + 1), own) is None

    check()
