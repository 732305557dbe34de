"""Steps for the member module, under an injected clock."""

from behave import given, then, when

from cardamomgrade.bundle import parse_bundle
from cardamomgrade.member import ACK_HOLD_S, Member, Seat
from cardamomgrade.records import (
    BatchAcked,
    BatchOpened,
    encode_record,
    MemberJoined,
)
from cardamomgrade.refusal import Reason
from fleets import bundle_text, ENTRIES, rollout
from harness import free_address, Rig

STEP_S = 1.0
LAPSE_S = 20.0
DEADLINE_S = 1.0


class Lone:
    """A Member whose reads, appends and clock are the test's."""

    def __init__(self):
        self.rig = Rig()
        self.now = 100.0
        self.rig.loop.now = lambda: self.now
        self.appended = []
        seat = Seat(ENTRIES[0], "z0", "127.0.0.1:1", 7)
        self.changes = 0
        hooks = {"on_change": self._changed, "on_replaced": lambda: None}
        self.member = Member(
            self.rig.loop,
            self.rig.net,
            free_address(),
            seat,
            held=lambda vm: 0,
            **hooks,
        )
        self.member.follower.submit = self._submit
        self._offset = 0
        records = rollout(parse_bundle(bundle_text()))
        self.take(*records, MemberJoined(ENTRIES[0], 7, "z0", "127.0.0.1:1"))
        self.member.freshen(self.now)
        self.member.seat.incarnation = 7

    def _changed(self):
        self.changes += 1

    def _submit(self, record, on_verdict):
        self.appended.append(record)

    def take(self, *records):
        raw = []
        for record in records:
            raw.append((self._offset, 1000, encode_record(record)))
            self._offset += 1
        self.member.follower.feed.accept(raw)

    def acked(self):
        self.member.freshen(self.now)
        return any(isinstance(item, BatchAcked) for item in self.appended)


@given("a member of the fleet that reads the log")
def step_member(context):
    context.lone = Lone()
    assert context.lone.member.is_member()


@when("its lease lapses, which {notice} notices, {times} and a batch is opened")
def step_lapse(context, notice, times):
    lone = context.lone
    for _ in range({"once": 1, "twice": 2}[times]):
        lone.now += LAPSE_S
        if notice == "a tick":
            lone.member.tick()
        else:
            lone.member.note_freshness()
        lone.member.freshen(lone.now)
    lone.take(BatchOpened("w", 1, ("a1",), "", lone._offset - 1, "c"))


@then("it acknowledges the batch only after the hold and the longest deadline")
def step_ack(context):
    lone = context.lone
    end = lone.now + ACK_HOLD_S + DEADLINE_S
    while lone.now < end:
        assert not lone.acked(), lone.now
        lone.now += STEP_S
    assert lone.acked()


@when("its process stands still for a minute")
def step_stand_still(context):
    lone = context.lone
    assert lone.member.may_send("a1") is True
    lone.now += 60.0


@then("it sends to no VM until it has read the tail")
def step_sends_nothing(context):
    lone = context.lone
    assert lone.member.may_send("a1").reason is Reason.NOT_SERVING
    lone.member.freshen(lone.now - 1.0)
    assert lone.member.may_send("a1").reason is Reason.NOT_SERVING
    lone.member.follower._beat()
    lone.member.freshen(lone.now + 0.1)
    assert lone.member.may_send("a1") is True


@when("it has read the tail since")
def step_read_tail(context):
    lone = context.lone
    lone.member.follower._beat()
    lone.changes = 0
    for _ in range(3):
        lone.now += 0.1
        lone.member.freshen(lone.now)


@then("it tells those who wait that it may send again, once")
def step_told(context):
    assert context.lone.member.may_send("a1") is True
    assert context.lone.changes == 1, context.lone.changes
