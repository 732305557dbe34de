"""Steps for the placement module."""

from behave import given, then, when
from hypothesis import given as generated, settings, strategies as st

from cardamomgrade.allocations import Quota
from cardamomgrade.estimate import Usage
from cardamomgrade.placement import Placer
from cardamomgrade.placement_events import (
    Action,
    Obstacle,
    TaskCurbed,
    TaskHopeless,
    TaskSent,
    TaskWaits,
    WorkerSetAside,
    WorkerTried,
)
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
    """A log, placers that read it, and the reference state folded from the log."""

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
        """Let a placer decide; append its records unless they are to be lost."""
        items = list(self.placers[number].decide(self.now_ms).items)
        self.items += items
        for item in items:
            if hasattr(item, "record") and not lose:
                self.append(item.record)
        return items

    def step(self):
        """Read the log, decide, and read the appended records; return the decisions."""
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
            if not any(
                request.action is Action.THROTTLE for request in self.of(TaskCurbed)
            ):
                assert sum(task.cores for task in held) <= item.cores


def race(steps, count):
    """Return a Cluster after generated steps of two placers, checked at each step."""
    cluster = Cluster([worker(f"w{number}") for number in range(count)], placers=2)
    for number, memory_mb in enumerate((5000, 4500, 2500)):
        cluster.append(submitted(f"first{number}", 1.0, memory_mb))
    cluster.catch_up(0)
    cluster.catch_up(1)
    for number, (kind, placer, size, flag) in enumerate(steps):
        cluster.now_ms += 100 * size
        if kind == "submit":
            cluster.append(
                submitted(f"t{number}", size / 2, 900 * size, size % 3, urgent=flag)
            )
        elif kind == "decide":
            cluster.decide(placer, lose=flag)
        elif kind == "read":
            cluster.catch_up(placer)
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


@then("in generated interleavings the free capacity of each worker is never negative")
def never_overallocated(context):
    @FIXED
    @generated(STEPS, st.integers(1, 2))
    def check(steps, count):
        race(steps, count)

    check()


@then("in generated interleavings every task that fits is placed in the end")
def all_placed_in_the_end(context):
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


@given("two placers, one of which has not read the submission of an urgent task")
def different_offsets(context):
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


@then("the later placement is refused and its task is placed when the other has ended")
def later_placement_refused(context):
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
def single_worker(context, cores, memory, accelerators):
    context.cluster = Cluster([worker("w", "r", cores, memory, accelerators)])


@given("a running task of {cores:g} cores, {memory:d} MB and {count:d} accelerators")
def running(context, cores, memory, count):
    context.cluster.append(submitted("running", cores, memory, count))
    context.cluster.step()
    assert len(context.cluster.live()) == 1


@when(
    "an urgent task of {cores:g} cores, {memory:d} MB and {count:d} accelerators "
    "is submitted"
)
def urgent_submitted(context, cores, memory, count):
    cluster = context.cluster
    cluster.append(submitted("urgent", cores, memory, count, urgent=True))
    cluster.step()


@then("a {action} of the running task is requested by {limit:d} ms")
def action_requested(context, action, limit):
    (request,) = context.cluster.of(TaskCurbed)
    assert (request.task, request.action.value) == ("running", action)
    assert context.cluster.now_ms <= limit


@then("its stop is requested once when it still runs at {time_ms:d} ms")
def stop_requested_once(context, time_ms):
    cluster = context.cluster
    for now_ms in (500, time_ms, time_ms + 200):
        cluster.now_ms = now_ms
        cluster.step()
    actions = [item.action for item in cluster.of(TaskCurbed)]
    assert actions == [Action.CHECKPOINT, Action.STOP]


@then("the urgent task is placed as soon as the running task has ended")
def urgent_placed(context):
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


@then("it is refused because no worker has room for {count:d} accelerators")
def refused(context, count):
    (item,) = context.cluster.of(TaskHopeless)
    assert f"{count} accelerators" in item.reason
    assert not context.cluster.referee.tasks


@given("{count:d} workers")
def workers(context, count):
    context.cluster = Cluster([worker(f"w{number}") for number in range(count)])


@given("{count:d} workers of which {failing:d} fail every task")
def failing_workers(context, count, failing):
    workers(context, count)
    context.failing = {f"w{number}" for number in range(failing)}


@given("{count:d} workers in {racks:d} racks")
def racked_workers(context, count, racks):
    context.cluster = Cluster(
        [worker(f"w{number}", f"r{number % racks}") for number in range(count)]
    )


@when("a task fails on every worker on which it is placed")
def fails_on_every_worker(context):
    context.cluster.append(submitted("t"))
    for _ in range(10):
        context.cluster.step()
        for task in context.cluster.live():
            context.cluster.end(task, "failed")


@then("it is refused after it failed on {count:d} workers and no worker is set aside")
def refused_after(context, count):
    (item,) = context.cluster.of(TaskHopeless)
    assert item.reason.count("w") == count
    assert not context.cluster.of(WorkerSetAside)


@when("{count:d} valid tasks are submitted and run again when they fail")
def valid_tasks(context, count):
    cluster = context.cluster
    for number in range(count):
        cluster.append(submitted(f"t{number}", 2.0))
    for _ in range(30):
        cluster.now_ms += 100
        cluster.step()
        for task in cluster.live():
            cluster.end(task, "failed" if task.worker in context.failing else "done")
    assert not cluster.referee.tasks


@then("at most {count:d} workers are set aside at once")
def set_aside_bounded(context, count):
    assert 1 <= len(context.cluster.of(WorkerSetAside)) <= count


@then("no valid task is refused")
def no_valid_task_refused(context):
    assert not context.cluster.of(TaskHopeless)


@then("a worker that was set aside is tried again after {delay_ms:d} ms")
def tried_again(context, delay_ms):
    cluster = context.cluster
    set_aside = {item.worker for item in cluster.of(WorkerSetAside)}
    cluster.now_ms += delay_ms
    cluster.step()
    assert {item.worker for item in cluster.of(WorkerTried)} == set_aside


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


@then("{count:d} are placed and one waits for the quota")
def one_waits_for_quota(context, count):
    assert len(context.cluster.live()) == count
    assert [item.obstacle for item in context.cluster.of(TaskWaits)] == [Obstacle.QUOTA]


@then("it is placed when one of them is done")
def placed_after_quota_freed(context):
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


@then("{count:d} more of them run at the same time")
def more_run(context, count):
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


@then("they are placed in {count:d} racks")
def placed_in_racks(context, count):
    cluster = context.cluster
    racks = {cluster.workers[task.worker].rack for task in cluster.live()}
    assert len(racks) == count


@then("each placement states its estimate and counts the skipped workers by obstacle")
def placements_explained(context):
    sent = context.cluster.of(TaskSent)
    assert all("estimated" in item.reason for item in sent)
    skipped_counts = [[str(skipped) for skipped in item.refused] for item in sent]
    assert skipped_counts[0] == []
    assert skipped_counts[1] == ["1 another placement is under way"]


@when("a task is placed and the append of its record is lost")
def append_lost(context):
    cluster = context.cluster
    cluster.append(submitted("t"))
    cluster.catch_up()
    cluster.decide(lose=True)
    assert len(cluster.of(TaskSent)) == 1


@then("it is placed again after {delay_ms:d} ms and not before")
def placed_again_after(context, delay_ms):
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


@then("every worker has its whole capacity free again")
def all_capacity_free(context):
    cluster = context.cluster
    for capacity in cluster.placers[0]._allocations.capacities.values():
        assert (capacity.free_cores, capacity.free_memory_mb) == (8.0, 8000)
        assert not capacity.allocations and not capacity.blockers
