"""Numbered events of an entry (300 to 349) and of its routing (350 to 399)."""

import logging

from .journal import event


@event(300)
class EntryStarted:
    """The entry listens for callers."""

    callers: str
    incarnation: int


@event(301)
class EntryMember:
    """The log holds the entry as a member under this incarnation."""

    incarnation: int


@event(302)
class EntryStopping:
    """The entry accepts nothing more and finishes what is in flight."""

    in_flight: int


@event(303)
class EntryStopped:
    """The entry ends; ``left`` tells whether the log took its leave."""

    unfinished: int
    left: bool


@event(304)
class BundleInForce:
    """The entry routes by another bundle from here on."""

    version: int
    offset: int


@event(305, logging.WARNING)
class FreshnessLost:
    """The last read of the fleet's tail is older than the lease."""

    offset: int


@event(306)
class FreshnessRegained:
    """The fleet's tail was read again."""

    offset: int


@event(307)
class AppendOwed:
    """A record that the entry owes the log is appended (again)."""

    record: str
    batch: int


@event(308, logging.WARNING)
class AppendFailed:
    """The log did not confirm an append; it is settled by reading."""

    record: str
    reason: str


@event(309, logging.WARNING)
class BadLogRecord:
    """A record of a stream cannot be read; it is skipped."""

    stream: str
    offset: int
    detail: str


@event(310, logging.WARNING)
class LogTruncated:
    """The next record of a stream is no longer retained."""

    stream: str
    earliest: int


@event(311, logging.ERROR)
class SeatTaken:
    """A later incarnation holds this entry's seat; this one stops."""

    incarnation: int
    other: int


@event(350)
class RequestRouted:
    """An endpoint was chosen; ``refused`` counts the others by reason."""

    request: str
    service: str
    vm: str
    attempt: int
    reason: str
    refused: str


@event(351)
class RequestQueued:
    """No endpoint could take the request; it waits."""

    request: str
    service: str
    waiting: int
    refused: str


@event(352)
class RequestAnswered:
    """An endpoint's answer was given to the caller."""

    request: str
    service: str
    vm: str
    status: int
    ms: float


@event(353)
class RequestEnded:
    """The caller was given the entry's own answer."""

    request: str
    service: str
    outcome: str
    reason: str
    detail: str


@event(354)
class AttemptFailed:
    """An endpoint gave no whole answer; ``sent`` tells if it was given a byte."""

    request: str
    vm: str
    sent: bool
    detail: str


@event(355)
class CallerLeft:
    """The caller closed its connection before its answer."""

    request: str
    running: bool


@event(356, logging.WARNING)
class EndpointEjected:
    """An endpoint gets no requests for a while."""

    vm: str
    reason: str
    delay_s: float


@event(357)
class EndpointRestored:
    """An ejected endpoint takes part again."""

    vm: str


@event(358)
class KeyOwned:
    """The log gave an idempotency key to this request."""

    request: str
    offset: int


@event(359)
class KeyReleaseOwed:
    """A claimed request did not run; its key is released."""

    request: str
