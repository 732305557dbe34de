"""Steps that search for sequences in which a customer exceeds its limit."""

from contextlib import ExitStack
from unittest import mock

from behave import given, then, when
from hypothesis import (
    given as generated,
    HealthCheck,
    Phase,
    settings,
    strategies as st,
)

from cardamomgrade.jobs import orphans, quotas, scheduler as scheduling
from cardamomgrade.jobs.executors import Executor
from cardamomgrade.jobs.reports import Outcome
from cardamomgrade.jobs.spec import Step
from quotas import LIMITS, QuotaEstate, SERVICES, SMALL

EXAMPLES = 200
FIXED = settings(
    max_examples=EXAMPLES,
    derandomize=True,
    deadline=None,
    database=None,
    report_multiple_bugs=False,
    phases=(Phase.generate,),  # a shorter sequence is not worth its time in a test
    suppress_health_check=list(HealthCheck),
)
CUSTOMERS = ("a", "a", "b", "c", "")
SHAPES = (
    Step(1, 1000, 100),
    Step(6, 1000, 100),
    Step(3, 2000, 100),
    Step(1, 5000, 100),
    Step(2, 1500, 100, gang=True),
    Step(3, 1000, 100, gang=True),
    Step(4, 500, 50, fills=True),
    Step(2, 1000, 100, lasting=True),
)
ENDS = (Outcome.DONE, Outcome.DONE, Outcome.FAILED, Outcome.STOPPED)
# Frequent operations are listed more than once.
OPERATIONS = (
    *("add", "add", "add", "plan", "plan", "plan all", "plan all", "end", "end", "end"),
    *("report", "report", "report", "begin", "refuse", "lapse", "remove"),
    *("register", "hand over", "crash", "limits", "cancel", "forget", "time"),
)
SEQUENCES = st.lists(
    st.tuples(st.sampled_from(OPERATIONS), st.integers(0, 39), st.integers(0, 39)),
    min_size=70,
    max_size=90,
)


def pick(items, number):
    items = list(items)
    return items[number % len(items)] if items else None


def apply(estate, operation, first, second):
    """Apply one operation; ``first`` and ``second`` choose what it applies to."""
    live, name = pick(estate.live, first), pick(estate.names, first)
    if operation == "add":
        shape = pick(SHAPES, second)
        estate.add(pick(CUSTOMERS, first), pick(SERVICES, first // 5), shape)
    elif operation == "plan":
        estate.plan()
    elif operation == "plan all":
        estate.plan()
        quarantined = estate.scheduler._health.is_quarantined
        if not any(map(quarantined, estate.names)):
            missed = estate.missed_starts()
            assert not missed, f"not planned: {missed}"
    elif operation == "end" and live is not None:
        live.begun = True
        estate.end(live, pick(ENDS, second))
        if second < 30:
            estate.report(estate.ended[-1])
    elif operation == "report" and estate.ended:
        estate.report(pick(reversed(estate.ended), first))
    elif operation == "begin" and live is not None:
        live.begun = True
    elif operation == "refuse" and live is not None:
        estate.refuse(live)
    elif operation == "lapse":
        estate.lapse(name)
    elif operation == "remove":
        estate.remove(name)
    elif operation == "register":
        estate.register(name)
    elif operation == "hand over":
        estate.hand_over(
            [item for bit, item in enumerate(estate.names) if second & 1 << bit]
        )
    elif operation == "crash":
        estate.plan_unstored()
    elif operation == "limits":
        estate.set_limits(pick(LIMITS, first))
    elif operation == "cancel" and estate.specs:
        estate.cancel(pick(estate.specs, first))
    elif operation == "forget":
        estate.forget_jobs()
    elif operation == "time":
        estate.now_ms += 1500
    estate.check()


def search():
    @FIXED
    @generated(SEQUENCES, st.booleans())
    def sequences_keep_limits(sequence, quarantines):
        estate = QuotaEstate(SMALL, quarantines)
        for step in sequence:
            apply(estate, *step)

    sequences_keep_limits()


def _without_stopped_runs():
    stop = scheduling.Scheduler.stop

    def stop_and_release(self, task):
        stop(self, task)
        self.usage.release(task.executor, task.name, task.run)

    return mock.patch.object(scheduling.Scheduler, "stop", stop_and_release)


def _without_inherited_runs():
    def allocate(self, job, task):
        executor = self.executors.get(task.executor)
        step = job.spec.steps[task.id.step]
        if executor is not None:
            executor.allocate(task.name, task.run, step)

    return mock.patch.object(scheduling.Scheduler, "_allocate", allocate)


def _without_orphan_charge():
    def add(self, executor, task, orphan):
        self._runs.setdefault(executor, {})[task] = orphan

    return mock.patch.object(orphans.OrphanedRuns, "add", add)


def _without_release_of_orphans():
    def release(self, executor, task, run):
        return self._runs.get(executor, {}).pop(task, None) is not None

    return mock.patch.object(orphans.OrphanedRuns, "release", release)


def _without_charge_of_starts():
    allocate = Executor.allocate

    def allocate_uncharged(self, task, run, step, customer="", ends_ms=0.0):
        allocate(self, task, run, step)

    return mock.patch.object(Executor, "allocate", allocate_uncharged)


def _with_one_check_a_step():
    may_start = quotas.Quota.may_start

    def may_start_first(self, customer, state, service):
        begun = not state.step.gang and state.waiting < len(state.tasks)
        return begun or may_start(self, customer, state, service)

    return mock.patch.object(quotas.Quota, "may_start", may_start_first)


def _with_gangs_counted_as_one_task():
    allows = quotas.Quota.allows

    def allows_one(self, customer, step, tasks=1):
        return allows(self, customer, step)

    return mock.patch.object(quotas.Quota, "allows", allows_one)


def _without_planning_other_services():
    begin_round = quotas.Quota.begin_round

    def begin_only(self, now_ms):
        begin_round(self, now_ms)
        return set()

    return mock.patch.object(quotas.Quota, "begin_round", begin_only)


def _with_limits_of_the_first_version():
    set_config = quotas.Quota.set_config

    def set_once(self, cfg):
        if not hasattr(self, "_blocked") or not self._limits:
            set_config(self, cfg)

    return mock.patch.object(quotas.Quota, "set_config", set_once)


FAULTS = {
    "a run is released when its stop is ordered": _without_stopped_runs,
    "runs of earlier schedulers are not counted": _without_inherited_runs,
    "runs on unregistered executors are not counted": _without_orphan_charge,
    "orphaned runs are never released": _without_release_of_orphans,
    "starts are not counted": _without_charge_of_starts,
    "a step is checked once for all its tasks": _with_one_check_a_step,
    "a gang is checked as one task": _with_gangs_counted_as_one_task,
    "services that a limit held back are not planned": _without_planning_other_services,
    "the first limits stay in force": _with_limits_of_the_first_version,
}


@given("schedulers, executors and callers whose actions are generated")
def step_generated(context):
    context.fault = None


@given("the fault that {fault}")
def step_fault(context, fault):
    context.fault = FAULTS[fault]


@when("{count:d} sequences of them are tried")
def step_search(context, count):
    assert count == EXAMPLES
    context.failure = None
    with ExitStack() as stack:
        if context.fault is not None:
            stack.enter_context(context.fault())
        try:
            search()
        except AssertionError as exc:
            context.failure = exc


@then(
    "no customer exceeds its limit, and usage is the sum of allocations at every step"
)
def step_none(context):
    if context.failure is not None:
        raise context.failure


@then("the search finds it")
def step_found(context):
    assert context.failure is not None
