"""Log events of an entry (numbers 300 to 349) and of its routing (350 to 399)."""

import logging

from .journal import event


@event(300)
class EntryStarted:
    """The entry listens for callers."""

    callers: str
    incarnation: int


@event(301)
class EntryMember:
    """The log has recorded the entry as a member with this incarnation."""

    incarnation: int


@event(302)
class EntryStopping:
    """The entry accepts no new requests and finishes those in flight."""

    in_flight: int


@event(303)
class EntryStopped:
    """The entry ends; ``left`` is whether the log confirmed that it has left."""

    unfinished: int
    left: bool


@event(304)
class BundleInForce:
    """The entry routes by this bundle from now on."""

    version: int
    offset: int


@event(305, logging.WARNING)
class FreshnessLost:
    """The last read of the end of the fleet stream is older than the lease."""

    offset: int


@event(306)
class FreshnessRegained:
    """The end of the fleet stream was read again."""

    offset: int


@event(307)
class AppendOwed:
    """The entry appends, or appends again, a record that the log lacks."""

    record: str
    batch: int


@event(308, logging.WARNING)
class AppendFailed:
    """The log did not confirm an append; later reads show whether it took place."""

    record: str
    reason: str


@event(309, logging.WARNING)
class BadLogRecord:
    """A record of a stream cannot be decoded and is skipped."""

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
    """An endpoint was chosen; ``refused`` counts the rejected ones by reason."""

    request: str
    service: str
    vm: str
    attempt: int
    reason: str
    refused: str


@event(351)
class RequestQueued:
    """No endpoint could take the request; the queue now holds ``waiting`` requests."""

    request: str
    service: str
    waiting: int
    refused: str


@event(352)
class RequestAnswered:
    """An endpoint's response was sent to the caller after ``ms`` milliseconds."""

    request: str
    service: str
    vm: str
    status: int
    ms: float


@event(353)
class RequestEnded:
    """The caller got the entry's own reply in place of an endpoint's response."""

    request: str
    service: str
    outcome: str
    reason: str
    detail: str


@event(354)
class AttemptFailed:
    """An attempt got no whole response; ``sent`` is whether any byte was sent."""

    request: str
    vm: str
    sent: bool
    detail: str


@event(355)
class CallerLeft:
    """The caller closed its connection before the response was sent."""

    request: str
    running: bool


@event(356, logging.WARNING)
class EndpointEjected:
    """An endpoint gets no requests for ``delay_s`` seconds."""

    vm: str
    reason: str
    delay_s: float


@event(357)
class EndpointRestored:
    """An ejected endpoint gets requests again."""

    vm: str


@event(358)
class KeyOwned:
    """The log has recorded this request as the owner of its idempotency key."""

    request: str
    offset: int


@event(359)
class KeyReleaseOwed:
    """A request with a claimed idempotency key did not run; the key is released."""

    request: str
