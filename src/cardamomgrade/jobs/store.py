"""Types of the calls to a keyed topic of the store.

A topic is a log of (key, value) records; an empty value deletes its key. A client of
a topic has ``append(items, on_done, timeout, at, writer)``, ``cancel_append()``,
``read(start, wait_ms, on_done, timeout)``, ``newest(after, on_done, timeout)`` and
``close()``.
"""

from enum import Enum, unique

import attrs


@unique
class AppendFate(Enum):
    """Why an append gave no offset.

    ``NOT_DONE`` is certain; after ``UNKNOWN`` it may be done, or be done later.
    """

    NOT_DONE = "not-done"
    UNKNOWN = "unknown"
    MOVED_ON = "moved-on"
    FENCED = "fenced"
    OUT_OF_SEQUENCE = "out-of-sequence"


@attrs.frozen
class WriterMark:
    """A writer's epoch and the number of its append, which the store checks."""

    name: str
    epoch: int
    sequence: int


@attrs.frozen
class Appended:
    """The offset of the first record of an append."""

    offset: int


@attrs.frozen
class AppendFailed:
    """An append that gave no offset."""

    fate: AppendFate
    detail: str

    def __bool__(self):
        return False


@attrs.frozen
class Entry:
    """One record of a topic."""

    offset: int
    key: str
    value: bytes


@attrs.frozen
class Records:
    """Records in order, where to read on, and the end of the topic."""

    end: int
    next_offset: int
    entries: tuple


@attrs.frozen
class Page:
    """The newest record of some keys; ``end`` is the topic's end at the read."""

    entries: tuple
    more: bool
    end: int


@attrs.frozen
class Trimmed:
    """The records asked for are gone; ``first`` is the oldest one retained."""

    first: int


@attrs.frozen
class ReadFailed:
    """A read without an answer that can be used."""

    detail: str

    def __bool__(self):
        return False
