"""Steps for the tasks module."""

import tracemalloc

from behave import given, then, when
from hypothesis import given as generated, settings, strategies as st

from cardamomgrade.records import (
    decode_record,
    encode_record,
    Logged,
    TaskCancelled,
    TaskEnded,
    TaskPlaced,
    TaskRefused,
    TaskRenewed,
    TaskSubmitted,
)
from cardamomgrade.refusal import Reason, Refusal
from cardamomgrade.tasks import Change, LEASE_MARGIN_MS, OUTCOMES, Step, TaskState

FIXED = settings(max_examples=300, derandomize=True, deadline=None, database=None)
LEASE_MS = 5000
NAMES = st.sampled_from(["t0", "t1"])
ATTEMPTS = st.integers(1, 3)
RECORDS = st.one_of(
    st.builds(lambda name: submitted(name), NAMES),
    st.builds(
        lambda name, attempt, worker, builds_on: placed(
            name, attempt, worker, builds_on
        ),
        NAMES,
        ATTEMPTS,
        st.sampled_from(["w0", "w1"]),
        st.sampled_from([-1, 10, 10**9]),
    ),
    st.builds(TaskRenewed, NAMES, ATTEMPTS, st.just("c")),
    st.builds(TaskEnded, NAMES, ATTEMPTS, st.sampled_from(OUTCOMES), st.just("c")),
    st.builds(TaskCancelled, NAMES),
    st.builds(TaskRefused, NAMES, st.just("never"), st.just("c")),
)
HISTORY = st.lists(
    st.tuples(RECORDS, st.sampled_from([0, 1, 900, LEASE_MS])), max_size=40
)


def submitted(name, **sizes):
    wanted = {"cores": 1.0, "memory_mb": 100, "accelerators": 0, "run_s": 9.0}
    return TaskSubmitted(name, "team", "pool", **{**wanted, **sizes}, urgent=False)


def placed(name, attempt, worker, builds_on=10**9):
    return TaskPlaced(name, worker, attempt, LEASE_MS, 1.0, 100, builds_on, "c")


class Log:
    """Folds records in the order added, each at the next offset."""

    def __init__(self):
        self.state = TaskState()

    def add(self, record, time_ms=0):
        return self.state.fold(Logged(self.state.next_offset, time_ms, record))


def history(steps):
    time_ms = 0
    first = [(submitted("t0"), 0), (submitted("t1"), 0), (placed("t0", 1, "w0"), 0)]
    for offset, (record, pause) in enumerate(first + steps):
        time_ms += pause
        yield Logged(offset, time_ms, record)


@then("in generated task histories no two attempts of a task are ever live")
def one_attempt(context):
    @FIXED
    @generated(HISTORY)
    def check(steps):
        state, live, started, over = TaskState(), {}, set(), set()
        for item in history(steps):
            change, record = state.fold(item), item.record
            if isinstance(change, Refusal):
                continue
            name = record.task
            assert name not in over
            if change.step is Step.PLACED:
                assert name not in live
                assert (name, record.attempt) not in started
                started.add((name, record.attempt))
                live[name] = item.time_ms + LEASE_MS
            elif change.step is Step.RENEWED:
                assert item.time_ms < live[name]
                live[name] = item.time_ms + LEASE_MS
            elif change.step is Step.ENDED:
                if record.outcome == "lapsed":
                    assert item.time_ms >= live[name] + LEASE_MARGIN_MS
                del live[name]
            if change.after is None:
                assert name not in live
                over.add(name)
        assert live == {
            name: task.until_ms for name, task in state.tasks.items() if task.live
        }
        check_lapsed(state, live)

    check()


def check_lapsed(state, live):
    """Assert that lapsed() returns the same tasks as a scan of the live leases."""
    for time_ms in (state.time_ms, state.time_ms + LEASE_MS, 10**9):
        ends = time_ms - LEASE_MARGIN_MS
        found = sorted(task.spec.task for task in state.lapsed(time_ms))
        assert found == sorted(name for name, until in live.items() if until <= ends)


@then("folding generated task histories twice has the same effect as folding them once")
def task_twice(context):
    @FIXED
    @generated(HISTORY)
    def check(steps):
        once, again = TaskState(), TaskState()
        items = list(history(steps))
        for item in items:
            once.fold(item)
            again.fold(Logged(item.offset, item.time_ms, _copy(item.record)))
            for old in items[: item.offset + 1]:
                assert isinstance(again.fold(old), Refusal)
        assert once.tasks == again.tasks

    check()


def _copy(record):
    return decode_record(encode_record(record))


@given("a task placed at {time_ms:d} ms under a lease of {lease_ms:d} ms")
def placed_task(context, time_ms, lease_ms):
    assert lease_ms == LEASE_MS
    context.tasks = Log()
    context.tasks.add(submitted("t"))
    context.tasks.add(placed("t", 1, "w"), time_ms)


@when("its lease is renewed at {time_ms:d} ms")
def renewed(context, time_ms):
    assert context.tasks.add(TaskRenewed("t", 1, "c"), time_ms)


@then("its lease cannot be renewed at {time_ms:d} ms")
def not_renewed(context, time_ms):
    result = context.tasks.add(TaskRenewed("t", 1, "c"), time_ms)
    assert result.reason is Reason.EXPIRED


@then("ending its attempt as lapsed is refused at {time_ms:d} ms")
def not_lapsed(context, time_ms):
    assert not context.tasks.state.lapsed(time_ms)
    result = context.tasks.add(TaskEnded("t", 1, "lapsed", "c"), time_ms)
    assert result.reason is Reason.WRONG_STATE
    result = context.tasks.add(placed("t", 2, "v"), time_ms)
    assert result.reason is Reason.WRONG_STATE


@then("ending its attempt as lapsed is accepted at {time_ms:d} ms")
def lapsed(context, time_ms):
    assert [task.spec.task for task in context.tasks.state.lapsed(time_ms)] == ["t"]
    assert context.tasks.add(TaskEnded("t", 1, "lapsed", "c"), time_ms)


@then("it can be placed again only afterwards")
def placed_again(context):
    assert context.tasks.add(placed("t", 1, "v")).reason is Reason.OUTDATED
    assert context.tasks.add(placed("t", 2, "v")).step is Step.PLACED


@given(
    "two tasks placed on one worker by two placers that have read to the same offset"
)
def racing_placers(context):
    log = Log()
    log.add(submitted("t"))
    log.add(submitted("u"))
    seen = log.state.next_offset - 1
    assert log.add(placed("t", 1, "w", seen))
    context.second = log.add(placed("u", 1, "w", seen))


@then("the second placement is refused as outdated")
def second_refused(context):
    assert context.second.reason is Reason.OUTDATED


@given("{count:d} tasks of which {running:d} were placed")
def many_tasks(context, count, running):
    context.tasks = Log()
    for number in range(count):
        context.tasks.add(submitted(f"t{number}"))
    for number in range(running):
        assert context.tasks.add(placed(f"t{number}", 1, "w"))


@when("every task is cancelled three times")
def cancelled(context):
    names = list(context.tasks.state.tasks)
    results = [context.tasks.add(TaskCancelled(name)) for name in names * 3]
    context.changes = [item for item in results if isinstance(item, Change)]
    assert len(context.changes) == len(names)


@then(
    "{over:d} tasks have finished and {held:d} keep capacity until their attempts end"
)
def capacity_kept(context, over, held):
    assert sum(item.after is None for item in context.changes) == over
    assert not any(item.freed for item in context.changes)
    assert len(context.tasks.state.tasks) == held


@then("each attempt that ends frees its capacity once")
def freed_once(context):
    names = list(context.tasks.state.tasks)
    ends = [TaskEnded(name, 1, "stopped", "c") for name in names] * 3
    results = [context.tasks.add(record) for record in ends]
    assert sum(isinstance(item, Change) for item in results) == len(names)
    assert not context.tasks.state.tasks


@given("a task that was done")
def done_task(context):
    context.tasks = Log()
    context.tasks.add(submitted("t"))
    context.tasks.add(placed("t", 1, "w"))
    assert context.tasks.add(TaskEnded("t", 1, "done", "c")).after is None


@then("its submission is refused as a duplicate")
def duplicate(context):
    assert context.tasks.add(submitted("t")).reason is Reason.DUPLICATE


@then("{count:d} placed tasks take less than {limit:d} bytes each")
def little_task_memory(context, count, limit):
    tracemalloc.start()
    log = Log()
    for number in range(count):
        log.add(_copy(submitted(f"task-{number}")))
        log.add(_copy(placed(f"task-{number}", 1, f"w{number % 100}")))
    size = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    print(f"{size / count:.0f} bytes per task")
    assert size / count < limit, size / count
