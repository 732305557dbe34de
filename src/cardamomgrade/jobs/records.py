"""Records of the jobs topic; the newest record of a key replaces the earlier ones.

| key | record | written by |
|---|---|---|
| ``job/ID`` | JobSpec | the entry (of any node) that accepted the job |
| ``cancel/ID`` | CancelRecord | the entry that accepted the cancellation |
| ``progress/ID`` | ProgressRecord | the scheduler |
| ``upkeep/WAVE/VM`` | UpkeepRecord | the scheduler |
| ``order/VM`` | VmOrderRecord | the scheduler; deleted when the order's lease is over |
| ``append/NODE`` | AppendRecord | the entry of that node, last in each of its appends |
| ``silent/EXECUTOR`` | SilentRecord | the scheduler; deleted before its next grant |
| ``learned`` | LearnedRecord | the scheduler |
| ``load`` | LoadRecord | the scheduler |
| ``share-load`` | ShareLoadRecord | the scheduler, where customers have shares |
| ``term`` | TermRecord | the scheduler and its candidates |

A value is the CBOR array of the record's fields. Writing a record twice has no further
effect, so an append whose answer was lost may be repeated.
"""

import math
from enum import IntEnum, unique
from functools import cache
from operator import attrgetter

import attrs
import cbor2

from ..errors import RecordError
from .spec import JobSpec, Step

KEY_TERM = "term"
KEY_LEARNED = "learned"
KEY_LOAD = "load"
KEY_SHARE_LOAD = "share-load"
PREFIX_JOB = "job/"
PREFIX_CANCEL = "cancel/"
PREFIX_PROGRESS = "progress/"
PREFIX_UPKEEP = "upkeep/"
PREFIX_ORDER = "order/"
PREFIX_APPEND = "append/"
PREFIX_SILENT = "silent/"
PREFIX_EXECUTOR = "executor/"


@unique
class JobState(IntEnum):
    """State of a job as callers see it."""

    PENDING = 0
    RUNNING = 1
    COMPLETED = 2
    FAILED = 3
    CANCELLED = 4

    @property
    def final(self):
        """Whether the state never changes again."""
        return self in (JobState.COMPLETED, JobState.FAILED, JobState.CANCELLED)


@unique
class Phase(IntEnum):
    """State of a task's latest run."""

    WAITING = 0
    PLACED = 1
    DONE = 2
    EXHAUSTED = 3


@attrs.frozen
class TaskRecord:
    """One task that was started at least once; ``run`` is its latest run.

    ``losses`` counts the executors that crashed under it, ``begun_run`` is the newest
    run that is known to have begun, 0 if that is the first or none, and ``suspicions``
    has the fields of each Suspicion. ``failed_run`` is ``run`` if that is a gang's and
    counted as a failure, else 0.
    """

    occurrence: int
    step: int
    index: int
    run: int
    phase: int
    executor: str
    failures: int
    checkpoint: str
    losses: int = 0
    begun_run: int = 0
    suspicions: tuple = ()
    failed_run: int = 0


TASK_FIELDS = len(attrs.fields(TaskRecord))
TASK_FIELDS_MIN = sum(
    item.default is attrs.NOTHING for item in attrs.fields(TaskRecord)
)


@attrs.frozen
class ProgressRecord:
    """The scheduler's decisions about a job: a JobState and the tasks started so far.

    ``rows`` holds the fields of a TaskRecord each. Every node reads every record, but
    only a new scheduler needs the tasks. A row lacks the last fields if it has nothing
    to say there, so that versions that do not know them can read the row.
    """

    state: int
    rows: tuple

    @property
    def tasks(self):
        """The TaskRecords."""
        return tuple(TaskRecord(*row) for row in self.rows)


@attrs.frozen
class CancelRecord:
    """A caller's cancellation; ``at_ms`` is the wall clock of the entry."""

    at_ms: int


@attrs.frozen
class AppendRecord:
    """Identifies one append of a node's entry.

    ``number`` grows with every append of an ``incarnation``.
    """

    incarnation: str
    number: int


@attrs.frozen
class UpkeepRecord:
    """An upkeep of a VM, stored before it is ordered.

    ``executor`` is the incarnation that the upkeep ends; ``begun`` is true once the
    upkeep is known to have begun.
    """

    wave: int
    executor: str
    epoch: int
    begun: bool = False


@attrs.frozen
class VmOrderRecord:
    """A lease on a VM: while it lasts only the scheduler of ``epoch`` gives orders."""

    epoch: int


@attrs.frozen
class SilentRecord:
    """No scheduler grants the executor's lease again while this record is stored.

    ``age_ms`` is the time from the last grant until this record was made, or less.
    """

    age_ms: int


@attrs.frozen
class ExecutorRecord:
    """The newest incarnation of an executor that a scheduler has known.

    ``born`` is its start in Unix ms, ``restarted`` whether a scheduler has known an
    earlier one of the same id.
    """

    born: int
    restarted: bool


@attrs.frozen
class LearnedRecord:
    """Run times learned per queue, as (queue, mean_ms, estimate_error, mean_error).

    The errors are mean absolute logarithms of predicted by actual run time: of the
    callers' estimates and of ``mean_ms``.
    """

    queues: tuple


@attrs.frozen
class LoadRecord:
    """Expected waits at ``at_ms`` of the scheduler's wall clock, as (service, wait_ms).

    ``wait_ms`` is how long a service takes to finish the work that waits and that is
    not given up, in ms. Work beyond the shares of customers does not count.
    """

    at_ms: int
    waits: tuple


@attrs.frozen
class ShareLoadRecord:
    """Waits of customers for their shares, as (service, customer, wait_ms).

    ``at_ms`` is the scheduler's wall clock. Customers without a wait are left out.
    """

    at_ms: int
    waits: tuple


@attrs.frozen
class TermRecord:
    """Heartbeat of the scheduler of one epoch; ``beat`` grows with every append."""

    epoch: int
    node: str
    incarnation: str
    beat: int
    resigned: bool


def upkeep_name(wave, vm):
    """Return the part of an UpkeepRecord's key after the prefix.

    A VM has a record for each wave: one that is lost lets a later scheduler order an
    upkeep again that is done.
    """
    return f"{wave}/{vm}"


@cache
def _row_getter(cls):
    names = [field.name for field in attrs.fields(cls)]
    if len(names) == 1:  # attrgetter would return the bare value
        return lambda record: (getattr(record, names[0]),)
    return attrgetter(*names)


def _row(record):
    return _row_getter(type(record))(record)


def _flat(value):
    """Return a field's value, with rows in place of nested records."""
    if isinstance(value, tuple) and value and attrs.has(type(value[0])):
        return tuple(map(_row, value))
    return value


def encode(record):
    """Return the bytes of a record.

    A job without a customer is stored as by versions that knew no customers, so that
    they can read it.
    """
    row = tuple(map(_flat, _row(record)))
    if isinstance(record, JobSpec) and not record.customer:
        row = row[:-1]
    return cbor2.dumps(row)


def _load(cls, data):
    try:
        fields = cbor2.loads(data)
        return cls(*fields)
    except (cbor2.CBORError, ValueError, TypeError, OverflowError) as exc:
        raise RecordError(f"{cls.__name__}: {exc}") from exc


def decode_job(data):
    """Return the JobSpec of a ``job/`` key; raise RecordError."""
    spec = _load(JobSpec, data)
    try:
        steps = tuple(Step(*fields) for fields in spec.steps)
    except TypeError as exc:
        raise RecordError(f"JobSpec: {exc}") from exc
    if not isinstance(spec.customer, str):
        raise RecordError("JobSpec: the customer is no text")
    return attrs.evolve(spec, steps=steps)


def decode_progress(data):
    """Return the ProgressRecord of a ``progress/`` key; raise RecordError."""
    record = _load(ProgressRecord, data)
    try:
        JobState(record.state)
        complete = all(
            TASK_FIELDS_MIN <= len(row) <= TASK_FIELDS for row in record.rows
        )
        tails = [row[TASK_FIELDS_MIN:] for row in record.rows]
        counts = [count for tail in tails for count in (*tail[:2], *tail[3:])]
        suspicions = [
            tuple(map(type, item)) for tail in tails for item in sum(tail[2:3], [])
        ]
    except (TypeError, ValueError) as exc:
        raise RecordError(f"ProgressRecord: {exc}") from exc
    if not complete:
        raise RecordError("ProgressRecord: a row has too few or too many fields")
    if not all(isinstance(count, int) and count >= 0 for count in counts):
        raise RecordError(f"ProgressRecord: {counts!r} are no losses and runs")
    if any(item != (int, str, int, bool) for item in suspicions):
        raise RecordError("ProgressRecord: a suspicion has fields of other types")
    return record


def decode_term(data):
    """Return the TermRecord of the ``term`` key; raise RecordError."""
    return _load(TermRecord, data)


def decode_append(data):
    """Return the AppendRecord of an ``append/`` key; raise RecordError."""
    return _load(AppendRecord, data)


def decode_upkeep(data):
    """Return the UpkeepRecord of an ``upkeep/`` key; raise RecordError."""
    return _load(UpkeepRecord, data)


def decode_order(data):
    """Return the VmOrderRecord of an ``order/`` key; raise RecordError."""
    return _load(VmOrderRecord, data)


def decode_silent(data):
    """Return the SilentRecord of a ``silent/`` key; raise RecordError."""
    record = _load(SilentRecord, data)
    if not isinstance(record.age_ms, int) or record.age_ms < 0:
        raise RecordError(f"SilentRecord: {record.age_ms!r} is no age in ms")
    return record


def decode_known_executor(data):
    """Return the ExecutorRecord of an ``executor/`` key; raise RecordError."""
    record = _load(ExecutorRecord, data)
    if not isinstance(record.born, int) or not isinstance(record.restarted, bool):
        raise RecordError(f"ExecutorRecord: {record!r}")
    return record


def decode_learned(data):
    """Return the LearnedRecord of the ``learned`` key; raise RecordError."""
    record = _load(LearnedRecord, data)
    try:
        queues = tuple(
            (str(name), float(mean), float(first), float(second))
            for name, mean, first, second in record.queues
        )
    except (TypeError, ValueError) as exc:
        raise RecordError(f"LearnedRecord: {exc}") from exc
    return LearnedRecord(queues)


def decode_load(data):
    """Return the LoadRecord of the ``load`` key; raise RecordError."""
    return _load_waits(LoadRecord, data, 1)


def decode_share_load(data):
    """Return the ShareLoadRecord of the ``share-load`` key; raise RecordError."""
    return _load_waits(ShareLoadRecord, data, 2)


def _load_waits(cls, data, names):
    """Return a record whose waits have ``names`` names and a time in ms each."""
    record = _load(cls, data)
    try:
        waits = tuple(
            (*map(str, row[:names]), float(row[names])) for row in record.waits
        )
        complete = all(len(row) == names + 1 for row in record.waits)
        load = cls(int(record.at_ms), waits)
    except (TypeError, ValueError, OverflowError, IndexError) as exc:
        raise RecordError(f"{cls.__name__}: {exc}") from exc
    if not complete or not all(0 <= row[-1] < math.inf for row in waits):
        raise RecordError(f"{cls.__name__}: {waits!r} are no waits in ms")
    return load
