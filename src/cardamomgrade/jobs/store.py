"""Types of the calls to a keyed topic of the store, and of their results.

A topic is a log of (key, value) records; an empty value deletes its key. A client of
a topic has ``append(items, on_done, timeout, at, writer)``, ``cancel_append()``,
``read(start, wait_ms, on_done, timeout)``, ``newest(after, on_done, timeout)`` and
``close()``.
"""

from enum import Enum, unique

import attrs


@unique
class AppendFate(Enum):
    """Why an append returned no offset.

    ``NOT_DONE``: not carried out, now or later; ``UNKNOWN``: may have been carried out,
    or may still be; ``MOVED_ON``: the topic does not end at the offset given;
    ``FENCED``: the store has an append of a newer epoch of this writer;
    ``OUT_OF_SEQUENCE``: the number does not follow that of the last append.
    """

    NOT_DONE = "not-done"
    UNKNOWN = "unknown"
    MOVED_ON = "moved-on"
    FENCED = "fenced"
    OUT_OF_SEQUENCE = "out-of-sequence"


@attrs.frozen
class WriterPosition:
    """A writer's name and epoch and the number of its append, checked by the store."""

    name: str
    epoch: int
    sequence: int


@attrs.frozen
class Appended:
    """A successful append; ``offset`` is that of its first record."""

    offset: int


@attrs.frozen
class AppendFailed:
    """An append that returned no offset; ``detail`` is for the log."""

    fate: AppendFate
    detail: str

    def __bool__(self):
        return False


@attrs.frozen
class Entry:
    """A record of a topic; an empty ``value`` deletes the key."""

    offset: int
    key: str
    value: bytes


@attrs.frozen
class Records:
    """Records of a read in order, the offset of the next read, and the topic's end."""

    end: int
    next_offset: int
    entries: tuple


@attrs.frozen
class Page:
    """The newest record of some keys; ``more`` is whether further keys follow.

    ``end`` is the topic's end at the time of the read.
    """

    entries: tuple
    more: bool
    end: int


@attrs.frozen
class Trimmed:
    """The records of a read were deleted; ``first`` is the oldest offset retained."""

    first: int


@attrs.frozen
class ReadFailed:
    """A read without an answer, or with one that cannot be decoded."""

    detail: str

    def __bool__(self):
        return False
