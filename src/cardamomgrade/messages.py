"""Typed messages between entries and their CBOR encoding.

Wire form: a CBOR array ``[version, kind, fields]`` where ``fields`` is the array of
the class's attributes in order.
"""

import attrs
import cbor2

from .errors import PeerError
from .kinds import numbered

MESSAGE_VERSION = 1

_CLASSES = {}
_message = numbered(_CLASSES)


@attrs.frozen
class TokenCount:
    """A number of slot tokens of one endpoint."""

    endpoint: str = attrs.field(validator=attrs.validators.instance_of(str))
    count: int = attrs.field(validator=attrs.validators.instance_of(int))


@attrs.frozen
class RawRecord:
    """A log record as bytes with its offset and log time in milliseconds."""

    offset: int = attrs.field(validator=attrs.validators.instance_of(int))
    time_ms: int = attrs.field(validator=attrs.validators.instance_of(int))
    data: bytes = attrs.field(validator=attrs.validators.instance_of(bytes))


def _items(cls):
    """Return a converter from wire arrays to a tuple of ``cls`` instances."""

    def convert(value):
        return tuple(item if isinstance(item, cls) else cls(*item) for item in value)

    return convert


def _each_str(instance, attribute, value):
    if not all(isinstance(item, str) for item in value):
        raise TypeError(f"{attribute.name} is not text")


def _of(kind):
    return attrs.field(validator=attrs.validators.instance_of(kind))


def _counts():
    return attrs.field(converter=_items(TokenCount), default=())


@_message(1)
class Hello:
    """First message of a link: who speaks and a nonce for the peer to sign."""

    name: str = _of(str)
    incarnation: int = _of(int)
    nonce: str = _of(str)


@_message(2)
class Proof:
    """HMAC over the sender's role and both names, incarnations and nonces."""

    digest: str = _of(str)


@_message(3)
class Heartbeat:
    """What the sender has read of the log, sent every second.

    ``sequence`` numbers the sender's heartbeats and ``echo`` is the newest sequence
    that it received from the peer. ``offset`` is the next fleet offset, ``claims``
    the next claims offset. ``age_ms`` is how old the sender's proof is that it had
    read the whole fleet stream, or -1 without one. A halted sender may have been
    replaced without knowing it. An urgent one is answered at once.
    """

    sequence: int = _of(int)
    echo: int = _of(int)
    offset: int = _of(int)
    claims: int = _of(int)
    age_ms: int = _of(int)
    halted: bool = _of(bool)
    urgent: bool = _of(bool)


@_message(4)
class Superseded:
    """The receiver's seat has a newer incarnation."""

    incarnation: int = _of(int)


@_message(10)
class Ask:
    """The sender lacks ``count`` tokens on any of the endpoints.

    A locked sender cannot use its home tokens yet. A higher sequence replaces what
    was asked before for the same endpoints.
    """

    sequence: int = _of(int)
    endpoints: tuple = attrs.field(converter=tuple, validator=_each_str)
    count: int = _of(int)
    locked: bool = _of(bool)


@_message(11)
class Tokens:
    """Totals since the pair of incarnations met.

    ``lent`` counts the sender's home tokens lent to the receiver, ``returned`` the
    receiver's home tokens that the sender has returned.
    """

    lent: tuple = _counts()
    returned: tuple = _counts()


@_message(12)
class TokensAck:
    """The totals of a ``Tokens`` message that the sender has taken in."""

    lent: tuple = _counts()
    returned: tuple = _counts()


@_message(13)
class Query:
    """Asks how many of the sender's home tokens the receiver holds."""


@_message(14)
class Report:
    """The sender's holding of the receiver's home tokens when they met.

    ``age_ms`` is the time since the sender's start. ``known_before`` tells whether
    the sender had met an earlier incarnation of the receiver's seat.
    """

    age_ms: int = _of(int)
    known_before: bool = _of(bool)
    held: tuple = _counts()


@_message(19)
class RecordsWanted:
    """Asks for the records of a stream from an offset on."""

    stream: str = _of(str)
    offset: int = _of(int)


@_message(20)
class Records:
    """Raw records of a stream in offset order, handed on."""

    stream: str = _of(str)
    records: tuple = attrs.field(converter=_items(RawRecord))


@_message(21)
class RecordsMissing:
    """The peer's next offset is older than ``earliest`` that the sender keeps."""

    stream: str = _of(str)
    earliest: int = _of(int)


@_message(22)
class AppendRelay:
    """Asks the receiver to append an encoded record for the sender."""

    stream: str = _of(str)
    record: bytes = _of(bytes)


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
    """Return the message that ``data`` encodes; raise PeerError when it is none."""
    try:
        version, kind, fields = cbor2.loads(data)
        if version != MESSAGE_VERSION:
            raise PeerError(f"message version {version} is not known")
        cls = _CLASSES[kind]
        if len(fields) != len(attrs.fields(cls)):
            raise PeerError(f"{cls.__name__}: wrong number of fields")
        return cls(*fields)
    except (cbor2.CBORError, KeyError, TypeError, ValueError, OverflowError) as exc:
        raise PeerError(f"not a message: {exc!r}") from exc
