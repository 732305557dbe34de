"""Steps for the placement module."""

from behave import given, then, when
from hypothesis import given as generated, settings, strategies as st

from cardamomgrade.estimate import Usage
from cardamomgrade.holdings import Quota
from cardamomgrade.orders import (
    Action,
    Obstacle,
    TaskCurbed,
    TaskHopeless,
    TaskSent,
    TaskWaits,
    WorkerSetAside,
    WorkerTried,
)
from cardamomgrade.placement import Placer
from cardamomgrade.records import (
    Logged,
    TaskCancelled,
    TaskEnded,
    TaskSubmitted,
)
from cardamomgrade.refusal import Refusal
from cardamomgrade.room import Worker
from cardamomgrade.tasks import TaskState

FIXED = settings(max_examples=300, derandomize=True, deadline=None, database=None)
STEPS = st.lists(
    st.tuples(
        st.sampled_from(["submit", "decide", "decide", "read", "end", "cancel"]),
        st.integers(0, 1),
        st.integers(1, 8),
        st.booleans(),
    ),
    min_size=8,
    max_size=60,
)


def worker(name, rack="r0", cores=8.0, memory_mb=8000, accelerators=1):
    return Worker(name, "pool", "zone", rack, cores, memory_mb, accelerators)


def submitted(name, cores=1.0, memory_mb=100, accelerators=0, **options):
    team, urgent = options.get("team", "team"), options.get("urgent", False)
    return TaskSubmitted(
        name, team, "pool", cores, memory_mb, accelerators, 60.0, urgent
    )


class Cluster:
    """A log, placers that read it, and what a referee folds from it."""

    def __init__(self, workers, placers=1):
        self.log = []
        self.referee = TaskState()
        self.workers = {item.name: item for item in workers}
        self.placers = [Placer(f"c{number}") for number in range(placers)]
        self.read = [0] * placers
        for placer in self.placers:
            placer.set_workers(workers)
        self.now_ms = 0
        self.items = []

    def append(self, record):
        logged = Logged(len(self.log), self.now_ms, record)
        self.log.append(logged)
        return self.referee.fold(logged)

    def catch_up(self, number=0):
        while self.read[number] < len(self.log):
            self.placers[number].fold(self.log[self.read[number]])
            self.read[number] += 1

    def decide(self, number=0, lose=False):
        """Let a placer that has read to the end decide; append what it decides."""
        items = list(self.placers[number].decide(self.now_ms).items)
        self.items += items
        for item in items:
            if hasattr(item, "record") and not lose:
                self.append(item.record)
        return items

    def step(self):
        """Read, decide, and read back; return the decisions."""
        self.catch_up()
        items = self.decide()
        self.catch_up()
        return items

    def of(self, cls):
        return [item for item in self.items if isinstance(item, cls)]

    def live(self):
        return [task for task in self.referee.tasks.values() if task.live]

    def end(self, task, outcome="done"):
        return self.append(TaskEnded(task.spec.task, task.attempt, outcome, "w"))

    def check_room(self):
        for item in self.workers.values():
            held = [task for task in self.live() if task.worker == item.name]
            assert sum(task.spec.accelerators for task in held) <= item.accelerators
            assert sum(task.memory_mb for task in held) <= item.memory_mb
            if not any(curb.action is Action.THROTTLE for curb in self.of(TaskCurbed)):
                assert sum(task.cores for task in held) <= item.cores


def race(steps, count):
    """Return a Cluster after generated steps of two placers."""
    cluster = Cluster([worker(f"w{number}") for number in range(count)], placers=2)
    for number, memory_mb in enumerate((5000, 4500, 2500)):
        cluster.append(submitted(f"first{number}", 1.0, memory_mb))
    cluster.catch_up(0)
    cluster.catch_up(1)
    for number, (kind, who, size, flag) in enumerate(steps):
        cluster.now_ms += 100 * size
        if kind == "submit":
            cluster.append(
                submitted(f"t{number}", size / 2, 900 * size, size % 3, urgent=flag)
            )
        elif kind == "decide":
            cluster.decide(who, lose=flag)
        elif kind == "read":
            cluster.catch_up(who)
        elif cluster.live():
            task = cluster.live()[size % len(cluster.live())]
            if kind == "end":
                cluster.end(task, "failed" if flag and size == 1 else "done")
            else:
                cluster.append(TaskCancelled(task.spec.task))
        if cluster.log and flag:
            cluster.append(cluster.log[size % len(cluster.log)].record)
        cluster.check_room()
    return cluster


@then("in generated races each worker's room is never negative")
def room_kept(context):
    @FIXED
    @generated(STEPS, st.integers(1, 2))
    def check(steps, count):
        race(steps, count)

    check()


@then("in generated races every task that fits is placed in the end")
def all_placed(context):
    @FIXED
    @generated(STEPS, st.integers(1, 2))
    def check(steps, count):
        cluster = race(steps, count)
        for _ in range(200):
            if not cluster.referee.tasks:
                break
            cluster.now_ms += 3000
            cluster.catch_up(1)
            cluster.step()
            cluster.check_room()
            for task in cluster.live():
                cluster.end(task)
        assert not cluster.referee.tasks

    check()


@given("two placers, of which one has not read of an urgent task")
def different_views(context):
    cluster = context.cluster = Cluster([worker("w0")], placers=2)
    cluster.append(submitted("old", 1.0, 5000))
    cluster.catch_up(1)
    cluster.append(submitted("new", 1.0, 5000, urgent=True))
    cluster.catch_up(0)


@when("both place a task on the same worker")
def both_place(context):
    cluster = context.cluster
    for number in (0, 1):
        cluster.decide(number)
    assert [item.record.task for item in cluster.of(TaskSent)] == ["new", "old"]


@then("the later placement is void and its task is sent when the other has ended")
def later_void(context):
    cluster = context.cluster
    (task,) = cluster.live()
    assert task.spec.task == "new"
    cluster.catch_up(1)
    cluster.decide(1)
    cluster.end(task)
    cluster.catch_up(1)
    cluster.decide(1)
    assert [task.spec.task for task in cluster.live()] == ["old"]


@given("a worker of {cores:g} cores, {memory:d} MB and {accelerators:d} accelerators")
def one_worker(context, cores, memory, accelerators):
    context.cluster = Cluster([worker("w", "r", cores, memory, accelerators)])


@given("a running task of {cores:g} cores, {memory:d} MB and {count:d} accelerators")
def running(context, cores, memory, count):
    context.cluster.append(submitted("lesser", cores, memory, count))
    context.cluster.step()
    assert len(context.cluster.live()) == 1


@when(
    "an urgent task of {cores:g} cores, {memory:d} MB and {count:d} accelerators comes"
)
def urgent(context, cores, memory, count):
    cluster = context.cluster
    cluster.append(submitted("urgent", cores, memory, count, urgent=True))
    cluster.step()


@then("the running task is asked to {action} by {limit:d} ms")
def asked(context, action, limit):
    (curb,) = context.cluster.of(TaskCurbed)
    assert (curb.task, curb.action.value) == ("lesser", action)
    assert context.cluster.now_ms <= limit


@then("it is asked to stop once when it still runs at {time_ms:d} ms")
def then_stopped(context, time_ms):
    cluster = context.cluster
    for now_ms in (500, time_ms, time_ms + 200):
        cluster.now_ms = now_ms
        cluster.step()
    actions = [item.action for item in cluster.of(TaskCurbed)]
    assert actions == [Action.CHECKPOINT, Action.STOP]


@then("the urgent task is sent as soon as it has ended")
def urgent_sent(context):
    cluster = context.cluster
    cluster.end(cluster.live()[0], "stopped")
    cluster.step()
    assert [task.spec.task for task in cluster.live()] == ["urgent"]


@when("the urgent task runs and is done")
def urgent_done(context):
    cluster = context.cluster
    (task,) = [task for task in cluster.live() if task.spec.urgent]
    cluster.end(task)
    cluster.step()


@then("the running task is resumed")
def resumed(context):
    actions = [item.action for item in context.cluster.of(TaskCurbed)]
    assert actions == [Action.THROTTLE, Action.RESUME]


@when(
    "a task of {cores:g} cores, {memory:d} MB and {count:d} accelerators is submitted"
)
def task_submitted(context, cores, memory, count):
    context.cluster.append(submitted("t", cores, memory, count))
    context.cluster.step()


@then("it is refused since no worker has room for {count:d} accelerators")
def refused(context, count):
    (item,) = context.cluster.of(TaskHopeless)
    assert f"{count} accelerators" in item.reason
    assert not context.cluster.referee.tasks


@given("{count:d} workers")
def workers(context, count):
    context.cluster = Cluster([worker(f"w{number}") for number in range(count)])


@given("{count:d} workers of which {bad:d} fail everything")
def bad_workers(context, count, bad):
    workers(context, count)
    context.bad = {f"w{number}" for number in range(bad)}


@given("{count:d} workers in {racks:d} racks")
def racked_workers(context, count, racks):
    context.cluster = Cluster(
        [worker(f"w{number}", f"r{number % racks}") for number in range(count)]
    )


@when("a task fails wherever it is placed")
def fails_everywhere(context):
    context.cluster.append(submitted("t"))
    for _ in range(10):
        context.cluster.step()
        for task in context.cluster.live():
            context.cluster.end(task, "failed")


@then("it is refused after {count:d} workers and no worker is set aside")
def refused_after(context, count):
    (item,) = context.cluster.of(TaskHopeless)
    assert item.reason.count("w") == count
    assert not context.cluster.of(WorkerSetAside)


@when("{count:d} good tasks come and are run again where they fail")
def good_tasks(context, count):
    cluster = context.cluster
    for number in range(count):
        cluster.append(submitted(f"t{number}", 2.0))
    for _ in range(30):
        cluster.now_ms += 100
        cluster.step()
        for task in cluster.live():
            cluster.end(task, "failed" if task.worker in context.bad else "done")
    assert not cluster.referee.tasks


@then("at most {count:d} workers are set aside at once")
def bounded_aside(context, count):
    assert 1 <= len(context.cluster.of(WorkerSetAside)) <= count


@then("no good task is refused")
def none_refused(context):
    assert not context.cluster.of(TaskHopeless)


@then("a worker that was set aside is tried again after {delay_ms:d} ms")
def tried_again(context, delay_ms):
    cluster = context.cluster
    aside = {item.worker for item in cluster.of(WorkerSetAside)}
    cluster.now_ms += delay_ms
    cluster.step()
    assert {item.worker for item in cluster.of(WorkerTried)} == aside


@given("{count:d} workers and a quota of {cores:g} cores for a team")
def quota(context, count, cores):
    workers(context, count)
    context.cluster.placers[0].set_quotas([Quota("team", cores, 0)])


@when("the team submits {count:d} tasks of {cores:g} cores")
def team_submits(context, count, cores):
    for number in range(count):
        context.cluster.append(submitted(f"t{number}", cores))
    for _ in range(count):
        context.cluster.step()


@then("{count:d} are sent and one waits for the quota")
def quota_waits(context, count):
    assert len(context.cluster.live()) == count
    assert [item.obstacle for item in context.cluster.of(TaskWaits)] == [Obstacle.QUOTA]


@then("it is sent when one of them is done")
def quota_freed(context):
    cluster = context.cluster
    cluster.end(cluster.live()[0])
    cluster.step()
    assert len(cluster.live()) == len(cluster.referee.tasks) == 2


@when("{count:d} tasks that declare {cores:g} cores and use {used:g} have run")
def have_run(context, count, cores, used):
    cluster = context.cluster
    for number in range(count):
        cluster.append(submitted(f"old{number}", cores))
        cluster.step()
        cluster.placers[0].report(Usage(f"old{number}", used, 50, cluster.now_ms))
        cluster.end(cluster.live()[0])
    cluster.step()
    context.declared = cores


@then("{count:d} more of them are placed at once")
def more_placed(context, count):
    cluster = context.cluster
    for number in range(count):
        cluster.append(submitted(f"new{number}", context.declared))
    for _ in range(count):
        cluster.step()
    assert len(cluster.live()) == count


@when("{count:d} tasks of one team are submitted")
def one_team(context, count):
    for number in range(count):
        context.cluster.append(submitted(f"t{number}", 1.0))
    for _ in range(count):
        context.cluster.step()


@then("they stand in {count:d} racks")
def stand_in_racks(context, count):
    cluster = context.cluster
    racks = {cluster.workers[task.worker].rack for task in cluster.live()}
    assert len(racks) == count


@then("each sent task names the workers passed over by obstacle")
def passed_over(context):
    sent = context.cluster.of(TaskSent)
    assert all("estimated" in item.reason for item in sent)
    busy = [[str(passed) for passed in item.refused] for item in sent]
    assert busy[0] == []
    assert busy[1] == ["1 another placement is under way"]


@when("a task is sent and its append is lost")
def append_lost(context):
    cluster = context.cluster
    cluster.append(submitted("t"))
    cluster.catch_up()
    cluster.decide(lose=True)
    assert len(cluster.of(TaskSent)) == 1


@then("it is sent again after {delay_ms:d} ms and not before")
def sent_again(context, delay_ms):
    cluster = context.cluster
    cluster.now_ms = delay_ms
    cluster.step()
    assert not cluster.live()
    cluster.now_ms = delay_ms + 1
    cluster.step()
    assert len(cluster.live()) == 1


@when("{count:d} tasks run, are cancelled twice and end twice")
def run_and_cancel(context, count):
    cluster = context.cluster
    for number in range(count):
        cluster.append(submitted(f"t{number}", 3.0, 1000))
    for _ in range(count):
        cluster.step()
    tasks = cluster.live()
    assert len(tasks) == count
    for _ in range(2):
        for task in tasks:
            cluster.append(TaskCancelled(task.spec.task))
    ends = [cluster.end(task, "stopped") for task in tasks * 2]
    assert sum(not isinstance(item, Refusal) for item in ends) == count
    cluster.step()


@then("every worker is as free as at the start")
def as_free(context):
    cluster = context.cluster
    for room in cluster.placers[0]._holdings.rooms.values():
        assert (room.cores, room.memory_mb) == (8.0, 8000)
        assert not room.holds and not room.closed
