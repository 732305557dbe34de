"""What executors and the platform tell the scheduler, as plain types."""

from enum import Enum, unique

import attrs


@unique
class Outcome(Enum):
    """How a run of a task ended.

    ``LAPSED``: the lease ran out; ``BROKEN``: another member of its gang ended;
    ``ALONE``: the other members did not come in time.
    """

    DONE = "done"
    FAILED = "failed"
    STOPPED = "stopped"
    LAPSED = "lapsed"
    BROKEN = "broken"
    ALONE = "alone"


@unique
class OrderResult(Enum):
    """What became of an order to an executor.

    ``NOT_DONE``: nothing was done and nothing will be; ``NO_ANSWER``: it may have been
    carried out, or may still be.
    """

    TAKEN = "taken"
    FENCED = "fenced"
    OUTDATED = "outdated"
    LATE = "late"
    NO_ROOM = "no-room"
    BAD_TICKET = "bad-ticket"
    NOT_DONE = "not-done"
    WRONG_LIFE = "wrong-life"
    REJECTED = "rejected"
    NO_ANSWER = "no-answer"


@attrs.frozen
class OrderAnswer:
    """An OrderResult and the executor's clock in ms, or 0 when it told none."""

    result: OrderResult
    clock_ms: int = 0


@attrs.frozen
class RunningTask:
    """A run on an executor; ``percent`` is 100 when a lasting task is at work.

    ``load`` is the tail of the response times in ms of a task that serves, and the
    thousandths of a core in use of any other.
    """

    task: str
    run: int
    checkpoint: str
    percent: int
    load: int


@attrs.frozen
class EndedTask:
    """The end of a run; ``number`` counts the ends of one life of an executor."""

    number: int
    task: str
    run: int
    outcome: Outcome
    checkpoint: str


@attrs.frozen
class LeaseReport:
    """An executor's answer to a renewal of its lease; its clock in ms."""

    clock_ms: int
    running: tuple
    ended: tuple


@attrs.frozen
class ExecutorEntry:
    """An executor as it registered itself; sizes in thousandths of a core and MB."""

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


STATE_UP = "up"
STATE_UPKEEP = "upkeep"


@attrs.frozen
class ListedMachine:
    """A VM of the executors in the platform's list; ``executor`` is its life.

    ``state`` is STATE_UP, STATE_UPKEEP or any other word: neither of the two.
    """

    vm: str
    pool: str
    state: str
    executor: str


@attrs.frozen
class WaveRequest:
    """An operator's request that VMs have their upkeep, few at once, in time."""

    wave: int
    vms: tuple
    duration_s: float
    at_once: int


@unique
class VmOrderResult(Enum):
    """What became of an order for a VM."""

    DONE = "done"
    FENCED = "fenced"
    BUSY = "busy"
    NOT_IN_WAVE = "not-in-wave"
    REJECTED = "rejected"
    NOT_DONE = "not-done"
    NO_ANSWER = "no-answer"
