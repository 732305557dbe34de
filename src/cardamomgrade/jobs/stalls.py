"""Finds jobs that stand still; reads no clock and performs no I/O.

A job stands still while one of its tasks could start, or is placed on an executor that
does not answer, and no task of the job is placed on one that does. A task of a lasting
step stands still by itself, whatever the other tasks of its job do.
"""

from collections import Counter

import attrs

from .records import Phase
from .scheduler_events import JobStalled

STALL_LOG_MS = 2000  # then, and again after each further time, a line is logged
LASTING_STALL_LOG_MS = 4000  # a lasting task waits longer, while its end is confirmed
CHECK_INTERVAL_MS = 1000
SERVICE_LINES_MAX = 5  # per check; the jobs that stand still longest


@attrs.frozen
class _Standstill:
    job: object
    step_state: object
    waiting: int
    silent: int

    @property
    def log_ms(self):
        lasting = self.step_state.step.lasting
        return LASTING_STALL_LOG_MS if lasting else STALL_LOG_MS


class StallWatch:
    """Since when each job has stood still, and when that was logged last."""

    def __init__(self):
        self._since_ms = {}
        self._logged_ms = {}
        self._checked_ms = None

    def check(self, jobs, executors, now_ms):
        """Return (standstill, for_ms) pairs to log, those that last longest first.

        ``jobs`` are JobProgress items, ``executors`` maps a name to its Executor.
        Returns nothing if the last check is less than CHECK_INTERVAL_MS ago.
        """
        checked_ms = self._checked_ms
        if checked_ms is not None and now_ms - checked_ms < CHECK_INTERVAL_MS:
            return []
        self._checked_ms = now_ms
        found = {}
        for job in jobs:
            if not job.state.final:
                found.update(_standstills(job, executors))
        self._since_ms = {key: self._since_ms.get(key, now_ms) for key in found}
        self._logged_ms = {
            key: self._logged_ms.get(key, since_ms)
            for key, since_ms in self._since_ms.items()
        }
        due = []
        for key, item in found.items():
            waited_ms = now_ms - self._since_ms[key]
            if waited_ms >= item.log_ms and (
                now_ms - self._logged_ms[key] >= STALL_LOG_MS
            ):
                self._logged_ms[key] = now_ms
                due.append((item, waited_ms))
        return sorted(due, key=lambda pair: -pair[1])


def _standstills(job, executors):
    """Yield (key, standstill) pairs; the key changes when a run of them begins."""
    placed = job.placed()
    silent = [task for task in placed if not _answers(executors.get(task.executor))]
    lasting, steps = {}, []
    for state in job.ready_steps():
        if state.step.lasting:
            for task in state.tasks:
                if task.phase is Phase.WAITING:
                    lasting[task.name] = (task, _Standstill(job, state, 1, 0))
        else:
            steps.append(state)
    for task in silent:
        state = job.step_state(task.id)
        if state.step.lasting:
            lasting[task.name] = (task, _Standstill(job, state, 0, 1))
        else:
            steps.append(state)
    for name, (task, item) in lasting.items():
        yield (name, task.run), item
    if steps and len(silent) == len(placed):
        item = _Standstill(job, steps[0], steps[0].waiting, len(silent))
        yield (job.spec.job, job.run_count), item


def _answers(executor):
    return executor is not None and executor.listed and not executor.unreachable


def stall_event(item, for_ms, service, executor_states):
    """Return the JobStalled event of a standstill."""
    state, spec = item.step_state, item.job.spec
    return JobStalled(
        spec.job,
        spec.queue,
        service,
        f"{spec.job}.{state.occurrence}.{state.number}",
        item.waiting,
        item.silent,
        int(for_ms),
        dict(executor_states),
    )


def count_executor_states(step_state, executors, limits, reason_aside):
    """Return a Counter of why executors may not run one more task of a step.

    Each executor counts once, under the first reason: ``other-label``, ``no-room``,
    ``limit`` (per executor), ``unlisted``, ``draining``, ``unreachable``,
    ``cordoned``, the text that ``reason_aside(name)`` returns, or ``open`` if there is
    none. So an executor under a reason that is not about its room would have room.
    """
    step = step_state.step
    counts = Counter()
    for item in executors:
        entry = item.entry
        if step.label and step.label not in entry.labels:
            reason = "other-label"
        elif not item.fits(step):
            reason = "no-room"
        elif not limits.allows(item.name):
            reason = "limit"
        elif not item.listed:
            reason = "unlisted"
        elif entry.draining:
            reason = "draining"
        elif item.unreachable or item.unfenced:
            reason = "unreachable"
        elif item.cordoned:
            reason = "cordoned"
        else:
            reason = reason_aside(item.name) or "open"
        counts[reason] += 1
    return counts
