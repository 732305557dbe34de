"""Typed messages between entries and their CBOR encoding.

A message is encoded as a CBOR array ``[version, kind, fields]``: ``kind`` is the
number given to its class below and ``fields`` the array of its attributes in order.
"""

import attrs
import cbor2

from .errors import PeerError
from .kinds import kind_registrar

MESSAGE_VERSION = 1

_CLASSES = {}
_message = kind_registrar(_CLASSES)


@attrs.frozen
class TokenCount:
    """A number of slot tokens of one endpoint; each permits the use of one slot."""

    endpoint: str = attrs.field(validator=attrs.validators.instance_of(str))
    count: int = attrs.field(validator=attrs.validators.instance_of(int))


@attrs.frozen
class RawRecord:
    """An encoded log record with its offset and its log time in milliseconds."""

    offset: int = attrs.field(validator=attrs.validators.instance_of(int))
    time_ms: int = attrs.field(validator=attrs.validators.instance_of(int))
    data: bytes = attrs.field(validator=attrs.validators.instance_of(bytes))


def _tuple_of(cls):
    """Return a converter of decoded arrays to a tuple of ``cls`` instances."""

    def convert(value):
        return tuple(item if isinstance(item, cls) else cls(*item) for item in value)

    return convert


def _check_all_str(instance, attribute, value):
    if not all(isinstance(item, str) for item in value):
        raise TypeError(f"{attribute.name}: every item must be a string")


def _typed(kind):
    return attrs.field(validator=attrs.validators.instance_of(kind))


def _token_counts():
    return attrs.field(converter=_tuple_of(TokenCount), default=())


@_message(1)
class Hello:
    """First message on a link: the sender's identity and a nonce to be signed."""

    name: str = _typed(str)
    incarnation: int = _typed(int)
    nonce: str = _typed(str)


@_message(2)
class Proof:
    """HMAC over the sender's role and both sides' names, incarnations and nonces."""

    digest: str = _typed(str)


@_message(3)
class Heartbeat:
    """What the sender has read of the log; sent every second.

    ``sequence`` numbers the sender's heartbeats; ``echo`` is the sequence of the
    latest one received from the peer, or 0. ``offset`` and ``claims`` are the sender's
    next offsets of the fleet and claims streams. ``age_ms`` is the age of its proof of
    having read the whole fleet stream, or -1 without a proof. A ``halted`` sender may
    have been replaced without knowing it. An ``urgent`` heartbeat is answered at once.
    """

    sequence: int = _typed(int)
    echo: int = _typed(int)
    offset: int = _typed(int)
    claims: int = _typed(int)
    age_ms: int = _typed(int)
    halted: bool = _typed(bool)
    urgent: bool = _typed(bool)


@_message(4)
class Superseded:
    """A newer incarnation of the receiver's seat exists."""

    incarnation: int = _typed(int)


@_message(10)
class Ask:
    """Requests ``count`` tokens of any of the endpoints.

    A ``locked`` sender cannot use its home tokens yet. A message with a higher
    sequence replaces earlier ones for the same endpoints.
    """

    sequence: int = _typed(int)
    endpoints: tuple = attrs.field(converter=tuple, validator=_check_all_str)
    count: int = _typed(int)
    locked: bool = _typed(bool)


@_message(11)
class Tokens:
    """Running totals of transfers since the two incarnations connected.

    ``lent`` counts the sender's home tokens lent to the receiver, ``returned`` the
    receiver's home tokens that the sender has returned.
    """

    lent: tuple = _token_counts()
    returned: tuple = _token_counts()


@_message(12)
class TokensAck:
    """Acknowledges the totals of a ``Tokens`` message that the sender has applied."""

    lent: tuple = _token_counts()
    returned: tuple = _token_counts()


@_message(13)
class Query:
    """Requests a ``Report`` of the sender's home tokens that the receiver holds."""


@_message(14)
class Report:
    """The receiver's home tokens that the sender held when the two connected.

    ``age_ms`` is the time since the sender's start. ``known_before`` is whether the
    sender had been connected to an earlier incarnation of the receiver's seat.
    """

    age_ms: int = _typed(int)
    known_before: bool = _typed(bool)
    held: tuple = _token_counts()


@_message(19)
class RecordsWanted:
    """Requests the records of a stream from ``offset`` on."""

    stream: str = _typed(str)
    offset: int = _typed(int)


@_message(20)
class Records:
    """Answer to ``RecordsWanted``: raw records of the stream in offset order."""

    stream: str = _typed(str)
    records: tuple = attrs.field(converter=_tuple_of(RawRecord))


@_message(21)
class RecordsMissing:
    """Answer to ``RecordsWanted``: the sender keeps none before ``earliest``."""

    stream: str = _typed(str)
    earliest: int = _typed(int)


@_message(22)
class AppendRelay:
    """Requests that the receiver append an encoded record on behalf of the sender."""

    stream: str = _typed(str)
    record: bytes = _typed(bytes)


def _flatten(value):
    if isinstance(value, tuple):
        return [_flatten(item) for item in value]
    if attrs.has(type(value)):
        return list(attrs.astuple(value))
    return value


def encode_message(message):
    """Return the CBOR bytes of a message."""
    fields = [
        _flatten(getattr(message, field.name)) for field in attrs.fields(type(message))
    ]
    return cbor2.dumps([MESSAGE_VERSION, message.KIND, fields])


def decode_message(data):
    """Return the message that ``data`` encodes; raise PeerError if it is invalid."""
    try:
        version, kind, fields = cbor2.loads(data)
        if version != MESSAGE_VERSION:
            raise PeerError(
                f"message version {version} is not supported, only {MESSAGE_VERSION}"
            )
        cls = _CLASSES[kind]
        if len(fields) != len(attrs.fields(cls)):
            raise PeerError(f"{cls.__name__}: wrong number of fields")
        return cls(*fields)
    except (cbor2.CBORError, KeyError, TypeError, ValueError, OverflowError) as exc:
        raise PeerError(f"invalid message: {exc!r}") from exc
