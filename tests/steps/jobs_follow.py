"""Steps for TopicFollower; generated topics are read through fake clients."""

from behave import then
from hypothesis import given as generated, settings, strategies as st

from cardamomgrade.emulator.log import EmulatedLog
from cardamomgrade.jobs.follow import TopicFollower
from cardamomgrade.jobs.store import Entry, Page, ReadFailed, Records, Trimmed

TOPIC = "t"
KEYS = ("a", "b", "c")
READ_RECORDS = 3  # of one read, so that reads end before the topic does
PAGE_KEYS = 2  # of one page, so that loads take several pages
FIXED = settings(max_examples=300, derandomize=True, deadline=None, database=None)
# Answers and timers are frequent, so that most calls end.
STEPS = (("timer", ""), ("answer", "follower"), ("answer", "sync"))
ACTIONS = st.lists(
    st.sampled_from(
        (
            *(("put", key) for key in KEYS),
            *(("delete", key) for key in KEYS),
            ("sync", ""),
            ("expire", ""),
            ("serve", "follower"),
            ("serve", "sync"),
            ("fail", "follower"),
            *STEPS * 3,
        )
    ),
    min_size=40,
    max_size=100,
)


class _Timer:
    def cancel(self):
        """Do nothing: the test runs the timers that it wants."""


class FakeLoop:
    """A clock that stands still, and the callbacks that wait for it."""

    def __init__(self):
        self.due = []

    def now(self):
        return 0.0

    def call_later(self, delay, callback):
        self.due.append(callback)
        return _Timer()


class FakeClient:
    """A client whose calls the test serves from the log and then answers, in order."""

    def __init__(self, log):
        self._log = log
        self.calls = []

    def newest(self, after, on_done, timeout):
        self.calls.append([lambda: self._newest(after), on_done, None])

    def read(self, start, wait_ms, on_done, timeout):
        self.calls.append([lambda: self._read(start), on_done, None])

    def _newest(self, after):
        entries = tuple(
            Entry(offset, key.decode(), value)
            for key, (value, offset) in sorted(self._log.newest(TOPIC).items())
            if key.decode() > after
        )
        more = len(entries) > PAGE_KEYS
        return Page(entries[:PAGE_KEYS], more, self._log.end(TOPIC))

    def _read(self, start):
        if start < self._log.first(TOPIC):
            return Trimmed(self._log.first(TOPIC))
        records = self._log.records(TOPIC)[start : start + READ_RECORDS]
        entries = tuple(
            Entry(start + number, key.decode(), value)
            for number, (key, value) in enumerate(records)
        )
        return Records(self._log.end(TOPIC), start + len(entries), entries)

    def serve(self):
        """Take the result of the first call from the log as it is now."""
        if self.calls and self.calls[0][2] is None:
            self.calls[0][2] = self.calls[0][0]()

    def answer(self, result=None):
        """Deliver the result of the first call, or ``result`` in its place."""
        self.serve()
        if self.calls:
            _, on_done, served = self.calls.pop(0)
            on_done(result or served)


class FollowerFixture:
    """A follower, the entries that it delivered, and the ends of its syncs.

    ``syncs`` has (result, newest records when it began, records delivered at its end),
    the latter two as {key: Entry}.
    """

    def __init__(self):
        self.log = EmulatedLog()
        self.loop = FakeLoop()
        self.clients = {name: FakeClient(self.log) for name in ("follower", "sync")}
        self.delivered = []
        self.syncs = []
        self.number = 0
        self.follower = TopicFollower(
            self.loop, self.clients["follower"], TOPIC, self.delivered.append
        )
        self.follower.start()

    def act(self, action, name):
        if action in ("put", "delete"):
            self.number += 1
            value = str(self.number).encode() if action == "put" else b""
            self.log.append(TOPIC, [(name.encode(), value)])
        elif action == "expire":
            self.log.expire(TOPIC)
        elif action == "sync" and self.follower.loaded:
            self._sync()
        elif action == "serve":
            self.clients[name].serve()
        elif action == "answer":
            self.clients[name].answer()
        elif action == "fail":
            self.clients[name].answer(ReadFailed("no answer"))
        elif action == "timer" and self.loop.due:
            self.loop.due.pop(0)()

    def _sync(self):
        wanted = {
            key.decode(): Entry(offset, key.decode(), value)
            for offset, (key, value) in enumerate(self.log.records(TOPIC))
        }

        def done(reached):
            self.syncs.append((reached, wanted, self.delivered_by_key()))

        self.follower.sync(self.clients["sync"], done)

    def delivered_by_key(self):
        return {entry.key: entry for entry in self.delivered}

    def settle(self):
        """Answer every call until the follower has read to the end of the topic."""
        for _ in range(200):
            self.act("timer", "")
            self.act("answer", "sync")
            self.act("answer", "follower")

    def copy(self):
        found = self.delivered_by_key().values()
        return {entry.key: entry.value for entry in found if entry.value}


def is_behind(wanted, delivered):
    """Return whether a copy lacks a record or a later one of its key.

    A key that the copy never had need not be deleted.
    """
    if delivered is None:
        return bool(wanted.value)
    return delivered.offset < wanted.offset and bool(wanted.value or delivered.value)


def play(actions):
    world = FollowerFixture()
    for action, name in actions:
        world.act(action, name)
    return world


@then(
    "generated reads, appends, deletions and expiries leave the copy equal to the topic"
)
def step_copy(context):
    @FIXED
    @generated(ACTIONS)
    def check(actions):
        world = play(actions)
        world.settle()
        newest = world.log.newest(TOPIC).items()
        values = {key.decode(): value for key, (value, _) in newest}
        assert world.copy() == values, (world.copy(), values)
        for key in KEYS:
            offsets = [item.offset for item in world.delivered if item.key == key]
            assert offsets == sorted(set(offsets)), (key, offsets)

    check()


@then(
    "generated reads up to the end report success only with every earlier record"
    " delivered"
)
def step_sync(context):
    @FIXED
    @generated(ACTIONS)
    def check(actions):
        world = play(actions)
        for reached, wanted, delivered in world.syncs:
            behind = [
                entry
                for key, entry in wanted.items()
                if is_behind(entry, delivered.get(key))
            ]
            assert not (reached and behind), (behind, delivered)

    check()
