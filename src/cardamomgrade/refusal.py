"""Falsy results that give the reason why an operation was refused."""

from enum import Enum, unique

import attrs


@unique
class Reason(Enum):
    """Machine-readable reasons of a refusal; the values are on the wire."""

    ALREADY_DONE = "already-done"
    BAD_VALUE = "bad-value"
    BATCH_OPEN = "batch-open"
    BUDGET = "budget"
    DUPLICATE = "duplicate"
    EXPIRED = "expired"
    NOT_ACKNOWLEDGED = "not-acknowledged"
    NOT_CONFIRMED = "not-confirmed"
    NOT_SIGNED = "not-signed"
    NOT_SERVING = "not-serving"
    OUTDATED = "outdated"
    OVERLOADED = "overloaded"
    SAME_PERSON = "same-person"
    UNAVAILABLE = "unavailable"
    UNKNOWN = "unknown"
    WRONG_STATE = "wrong-state"


@attrs.frozen
class Refusal:
    """A falsy result with a reason and a readable detail, which may be empty."""

    reason: Reason
    detail: str = ""

    def __bool__(self):
        return False

    def __str__(self):
        return (
            f"{self.reason.value}: {self.detail}"
            if self.detail
            else (self.reason.value)
        )
