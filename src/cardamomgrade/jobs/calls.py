"""Requests of callers on jobs and their answers, independent of the wire format."""

from enum import Enum, unique

import attrs


@unique
class CallKind(Enum):
    """Kind of a caller's request."""

    SUBMIT = "submit"
    STATUS = "status"
    CANCEL = "cancel"
    COUNT = "count"


@attrs.frozen
class JobCall:
    """A validated call; ``deadline_ms`` is the caller's timeout, or 0 for none.

    ``customer`` is the name of the customer whose key the caller sent, or "".
    """

    kind: CallKind
    queue: str
    job: str
    deadline_ms: int = 0
    text: str = ""
    steps: tuple = ()
    repeat: int = 0
    start_at_ms: int = 0
    interval_ms: int = 0
    customer: str = ""


@unique
class AnswerKind(Enum):
    """Outcome of a call; ``UNKNOWN`` means that it may or may not have taken effect."""

    DONE = "done"
    NO_QUEUE = "no-queue"
    NO_JOB = "no-job"
    NO_KEY = "no-key"
    FORBIDDEN = "forbidden"
    BAD_REQUEST = "bad-request"
    TOO_LARGE = "too-large"
    BUSY = "busy"
    UNAVAILABLE = "unavailable"
    UNKNOWN = "unknown"


@attrs.frozen
class Answer:
    """The answer to a call; ``retry_after_s`` 0 sets no time for a retry."""

    kind: AnswerKind
    state: object = None
    waiting: int | None = None
    retry_after_s: int = 0
    detail: str = ""
