"""Types of the answers and reports that executors and the platform send.

The field ``executor`` holds the id of an executor. A restart is a new incarnation: it
has a new id, or the same id and a higher ``born``, the Unix ms of its start; 0 means
that the sender gave none.
"""

from enum import Enum, unique

import attrs


@unique
class Outcome(Enum):
    """How a run of a task ended.

    ``LAPSED``: the executor's lease ran out; ``BROKEN``: another member of its gang
    ended; ``ALONE``: the other members of its gang did not start in time.
    """

    DONE = "done"
    FAILED = "failed"
    STOPPED = "stopped"
    LAPSED = "lapsed"
    BROKEN = "broken"
    ALONE = "alone"


@unique
class LossCause(Enum):
    """Why the end of a run is not known from its executor.

    ``CRASHED``: another incarnation has taken the executor's place; ``SILENT``: its
    lease lapsed while it did not answer; ``MISSING``: it does not know the run, which
    it had before it started again if the run has begun; ``LEFT``: it drained, or an
    order for its VM ended it.
    """

    CRASHED = "crashed"
    SILENT = "silent"
    MISSING = "missing"
    LEFT = "left"


@unique
class OrderResult(Enum):
    """Result of an order to an executor.

    ``TAKEN``: accepted; ``FENCED``: the executor has received a newer epoch;
    ``OUTDATED``: the task already runs there, or this run of it is over; ``LATE``: the
    lease deadline in the order has passed; ``WRONG_LIFE``: another incarnation answers
    at the address; ``NOT_DONE``: not carried out, now or later; ``NOT_SENT``: not sent,
    as the executor gave no answer right before; ``NO_ANSWER``: may have been carried
    out, or may still be.
    """

    TAKEN = "taken"
    FENCED = "fenced"
    OUTDATED = "outdated"
    LATE = "late"
    NO_ROOM = "no-room"
    BAD_TICKET = "bad-ticket"
    NOT_DONE = "not-done"
    NOT_SENT = "not-sent"
    WRONG_LIFE = "wrong-life"
    REJECTED = "rejected"
    NO_ANSWER = "no-answer"


@attrs.frozen
class OrderAnswer:
    """An OrderResult and the executor's clock in ms, or 0 if the answer had none.

    ``detail`` says how an order without an answer was sent.
    """

    result: OrderResult
    clock_ms: int = 0
    born: int = 0
    detail: str = attrs.field(default="", eq=False)


@attrs.frozen
class RunningTask:
    """A run that an executor reports as running.

    ``percent`` is its progress, 100 when a lasting task is ready. ``load`` is the
    tail of the response times in ms for a task that serves, and the thousandths of a
    core in use for any other.
    """

    task: str
    run: int
    checkpoint: str
    percent: int
    load: int


@attrs.frozen
class EndedTask:
    """The end of a run; ``number`` counts the ends on one incarnation."""

    number: int
    task: str
    run: int
    outcome: Outcome
    checkpoint: str


@attrs.frozen
class LeaseReport:
    """An executor's answer to a renewal: its clock, RunningTasks and EndedTasks.

    ``running`` is complete. With ``more_ends``, ``ended`` may lack ends, which are
    listed once these are acknowledged.
    """

    clock_ms: int
    running: tuple
    ended: tuple
    more_ends: bool = False
    born: int = 0


@attrs.frozen
class ExecutorEntry:
    """An executor as it registered itself.

    ``cores_m`` is in thousandths of a core, ``clock_ms`` the executor's clock at the
    registration.
    """

    executor: str
    service: str
    address: str
    zone: str
    draining: bool
    cores_m: int
    memory_mb: int
    accelerators: int
    labels: tuple
    rack: str
    clock_ms: int
    remaining_ms: int = -1
    born: int = 0


STATE_UP = "up"
STATE_UPKEEP = "upkeep"


@attrs.frozen
class ListedVm:
    """A VM in the platform's list of VMs for executors.

    ``executor`` is the id of the executor's incarnation on it, or "". ``state`` is
    STATE_UP, STATE_UPKEEP, or another text for a VM that is in neither state.
    """

    vm: str
    pool: str
    state: str
    executor: str


@attrs.frozen
class WaveRequest:
    """An operator's request for the upkeep of VMs, ``at_once`` of them at a time.

    ``duration_s`` is the time in which all should have it.
    """

    wave: int
    vms: tuple
    duration_s: float
    at_once: int


@unique
class VmOrderResult(Enum):
    """Result of an order for a VM.

    ``FENCED``: the platform has received a newer epoch; ``NOT_DONE``: not carried out,
    now or later; ``NO_ANSWER``: may have been carried out, or may still be.
    """

    DONE = "done"
    FENCED = "fenced"
    BUSY = "busy"
    NOT_IN_WAVE = "not-in-wave"
    REJECTED = "rejected"
    NOT_DONE = "not-done"
    NO_ANSWER = "no-answer"
