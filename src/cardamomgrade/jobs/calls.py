"""Callers' calls on jobs and the answers to them, apart from any wire format."""

from enum import Enum, unique

import attrs


@unique
class CallKind(Enum):
    """What a caller asks for."""

    SUBMIT = "submit"
    STATUS = "status"
    CANCEL = "cancel"
    COUNT = "count"


@attrs.frozen
class JobCall:
    """A checked call; ``deadline_ms`` is how long the caller waits, or 0."""

    kind: CallKind
    queue: str
    job: str
    deadline_ms: int = 0
    text: str = ""
    steps: tuple = ()
    repeat: int = 0
    start_at_ms: int = 0
    interval_ms: int = 0


@unique
class AnswerKind(Enum):
    """How a call ended; ``UNKNOWN`` may have taken effect, all others say whether."""

    DONE = "done"
    NO_QUEUE = "no-queue"
    NO_JOB = "no-job"
    BAD_REQUEST = "bad-request"
    TOO_LARGE = "too-large"
    BUSY = "busy"
    UNAVAILABLE = "unavailable"
    UNKNOWN = "unknown"


@attrs.frozen
class Answer:
    """The answer to a call; ``retry_after_s`` 0 gives the caller no time."""

    kind: AnswerKind
    state: object = None
    waiting: int | None = None
    retry_after_s: int = 0
    detail: str = ""
