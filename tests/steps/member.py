"""Steps for the member module, with a simulated clock."""

from behave import given, then, when

from cardamomgrade.bundle import parse_bundle
from cardamomgrade.member import ACK_DELAY_S, Member, Seat
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


class SingleMember:
    """A Member whose reads and clock are set by the test; its appends are recorded."""

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
        self.member.extend_lease(self.now)
        self.member.seat.incarnation = 7

    def _changed(self):
        self.changes += 1

    def _submit(self, record, on_outcome):
        self.appended.append(record)

    def take(self, *records):
        raw = []
        for record in records:
            raw.append((self._offset, 1000, encode_record(record)))
            self._offset += 1
        self.member.follower.feed.accept(raw)

    def acked(self):
        self.member.extend_lease(self.now)
        return any(isinstance(item, BatchAcked) for item in self.appended)


@given("a member of the fleet that reads the log")
def step_member(context):
    context.single = SingleMember()
    assert context.single.member.is_member()


@when("its lease lapses {times}, detected by {detection}, and a batch is opened")
def step_lapse(context, times, detection):
    single = context.single
    for _ in range({"once": 1, "twice": 2}[times]):
        single.now += LAPSE_S
        if detection == "a tick":
            single.member.tick()
        else:
            single.member.update_freshness()
        single.member.extend_lease(single.now)
    single.take(BatchOpened("w", 1, ("a1",), "", single._offset - 1, "c"))


@then("it acknowledges the batch only after the fixed delay and the longest deadline")
def step_ack(context):
    single = context.single
    end = single.now + ACK_DELAY_S + DEADLINE_S
    while single.now < end:
        assert not single.acked(), single.now
        single.now += STEP_S
    assert single.acked()


@when("its process is paused for a minute")
def step_pause(context):
    single = context.single
    assert single.member.may_send("a1") is True
    single.now += 60.0


@then("it sends to no VM until it has read the tail")
def step_sends_nothing(context):
    single = context.single
    assert single.member.may_send("a1").reason is Reason.NOT_SERVING
    single.member.extend_lease(single.now - 1.0)
    assert single.member.may_send("a1").reason is Reason.NOT_SERVING
    single.member.follower._check_pause()
    single.member.extend_lease(single.now + 0.1)
    assert single.member.may_send("a1") is True


@when("it has read the tail since")
def step_read_tail(context):
    single = context.single
    single.member.follower._check_pause()
    single.changes = 0
    for _ in range(3):
        single.now += 0.1
        single.member.extend_lease(single.now)


@then("it signals once that requests may be sent again")
def step_signalled(context):
    assert context.single.member.may_send("a1") is True
    assert context.single.changes == 1, context.single.changes
