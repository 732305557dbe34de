"""Record types of the log streams and their CBOR encoding.

Wire format: a CBOR array ``[version, kind, fields]``. ``kind`` is the number of the
record type, ``fields`` the array of its attributes in order. A section is encoded as
``[name, [[option, value], ...]]``.

Terms: an entry is a process that routes requests. It occupies a seat, one of the names
that the bundle lists; an incarnation numbers one occupation of a seat. A control plans
maintenance and places tasks; ``control`` is the name of the one that appended a record.
A fence is the offset of the record that permits an action.
"""

import attrs
import cbor2

from .errors import RecordError
from .kinds import kind_registrar

RECORD_VERSION = 1
STREAM_FLEET = "fleet"
STREAM_CLAIMS = "claims"
STREAM_TASKS = "tasks"

_CLASSES = {}
_record = kind_registrar(_CLASSES)


@attrs.frozen
class Section:
    """One section of a bundle; ``options`` are (name, value) pairs sorted by name."""

    name: str
    options: tuple = ()


def _to_sections(value):
    return tuple(
        item
        if isinstance(item, Section)
        else Section(item[0], tuple((name, text) for name, text in item[1]))
        for item in value
    )


@_record(1)
class BundleProposed:
    """Proposes a bundle, as the sections changed and removed relative to its parent."""

    version: int
    parent: bytes
    digest: bytes
    author: str
    sections: tuple = attrs.field(converter=_to_sections)
    removed: tuple = attrs.field(converter=tuple, default=())


@_record(2)
class BundleSigned:
    """Signs off a proposed bundle; the signer must not be its author."""

    digest: bytes
    signer: str


@_record(3)
class BundleRolled:
    """Puts a signed-off bundle in force in place of its parent."""

    digest: bytes
    operator: str


@_record(10)
class MemberJoined:
    """An entry joins in its seat; a higher incarnation replaces a lower one."""

    entry: str
    incarnation: int
    zone: str
    address: str


@_record(11)
class MemberLeft:
    """An entry leaves voluntarily, with no request in flight."""

    entry: str
    incarnation: int


@_record(12)
class MemberGone:
    """An entry is removed because the platform no longer lists its VM."""

    entry: str
    incarnation: int
    control: str


@_record(20)
class BatchOpened:
    """Announces that VMs are to be drained, in a round of a maintenance wave.

    ``pool`` names the pool that the VMs move to, or is empty. ``builds_on`` is the
    offset of the last record that the planner had folded.
    """

    wave: str
    round: int
    vms: tuple = attrs.field(converter=tuple)
    pool: str
    builds_on: int
    control: str


@_record(21)
class BatchAcked:
    """An entry has read the BatchOpened at the offset ``batch``."""

    entry: str
    incarnation: int
    batch: int


@_record(22)
class DrainStarted:
    """Entries must not send further requests to the VMs of the batch."""

    batch: int
    control: str


@_record(23)
class DrainConfirmed:
    """An entry has no request in flight on any VM of the batch."""

    entry: str
    incarnation: int
    batch: int


@_record(24)
class RebootOrdered:
    """Permits the reboot of one VM; the record's offset is the fence."""

    batch: int
    vm: str
    control: str


@_record(25)
class VmJoined:
    """A VM is back in service after the reboot ordered at the offset ``fence``."""

    batch: int
    vm: str
    fence: int
    control: str


@_record(26)
class BatchAborted:
    """A batch is cancelled before its drain has started."""

    batch: int
    reason: str
    control: str


@_record(27)
class VmFailed:
    """The platform shows a VM as failed."""

    vm: str
    control: str


@_record(28)
class VmRecovered:
    """The platform shows a failed VM as live again."""

    vm: str
    control: str


@_record(30)
class Snapshot:
    """One part of the state folded through the offset ``through``.

    ``part`` counts from 0; ``digest`` is the SHA-256 of the data of all parts joined.
    """

    through: int
    part: int
    parts: int
    digest: bytes
    data: bytes


@_record(40)
class KeyClaimed:
    """An entry claims an idempotency key in order to run the request that carries it.

    Every reader remembers the key for ``memory_ms`` of the log's time.
    """

    key: bytes
    entry: str
    incarnation: int
    request: str
    memory_ms: int


@_record(41)
class KeyReleased:
    """The request that claimed a key did not run; the key may be claimed again."""

    key: bytes
    request: str


@_record(50)
class TaskSubmitted:
    """A team submits a task with its declared resources and expected run time."""

    task: str
    team: str
    pool: str
    cores: float
    memory_mb: int
    accelerators: int
    run_s: float
    urgent: bool


@_record(51)
class TaskPlaced:
    """Permits a task to start on a worker under a lease; the offset is the fence.

    ``cores`` and ``memory_mb`` are reserved for it. ``builds_on`` is the offset of the
    last record that the placer had folded.
    """

    task: str
    worker: str
    attempt: int
    lease_ms: int
    cores: float
    memory_mb: int
    builds_on: int
    control: str


@_record(52)
class TaskRenewed:
    """The worker reported the task as running; the lease restarts at this record."""

    task: str
    attempt: int
    control: str


@_record(53)
class TaskEnded:
    """An attempt ended; ``outcome`` is done, failed, stopped or lapsed."""

    task: str
    attempt: int
    outcome: str
    control: str


@_record(54)
class TaskCancelled:
    """The team cancels a task."""

    task: str


@_record(55)
class TaskRefused:
    """A task is refused because it can never run in its pool."""

    task: str
    reason: str
    control: str


@attrs.frozen
class UnknownRecord:
    """A record of a version or kind that this release does not know."""

    version: int
    kind: int


@attrs.frozen
class Logged:
    """A record read from a stream, with its offset and its log time in ms."""

    offset: int
    time_ms: int
    record: object


def _flatten(inst, attribute, value):
    if isinstance(value, Section):
        return [value.name, [list(pair) for pair in value.options]]
    if isinstance(value, tuple):
        return [_flatten(inst, attribute, item) for item in value]
    return value


def encode_record(record):
    """Return the CBOR bytes of a record."""
    fields = [
        _flatten(record, field, getattr(record, field.name))
        for field in attrs.fields(type(record))
    ]
    return cbor2.dumps([RECORD_VERSION, record.KIND, fields])


def decode_record(data):
    """Return the record that ``data`` encodes, or an UnknownRecord.

    Raises RecordError if the bytes are not a valid record.
    """
    version, kind, fields = _unpack(data)
    if version != RECORD_VERSION or kind not in _CLASSES:
        return UnknownRecord(version, kind)
    cls = _CLASSES[kind]
    if not isinstance(fields, list) or len(fields) != len(attrs.fields(cls)):
        raise RecordError(
            f"{cls.__name__}: the fields are not an array of the right length"
        )
    try:
        record = cls(*fields)
    except (TypeError, ValueError, IndexError) as exc:
        raise RecordError(f"{cls.__name__}: {exc}") from exc
    for field in attrs.fields(cls):
        if not _has_type(getattr(record, field.name), field):
            raise RecordError(f"{cls.__name__}: {field.name} has the wrong type")
    return record


def _has_type(value, field):
    if field.name == "sections":
        texts = [text for item in value for pair in item.options for text in pair]
        texts += [item.name for item in value]
        return all(isinstance(text, str) for text in texts)
    if field.type is tuple:
        return all(isinstance(item, str) for item in value)
    if field.type is float:
        return isinstance(value, (int, float))
    return isinstance(value, field.type)


def _unpack(data):
    try:
        parts = cbor2.loads(data)
    except (cbor2.CBORError, ValueError, TypeError, OverflowError) as exc:
        raise RecordError(f"not CBOR: {exc}") from exc
    if not isinstance(parts, list) or len(parts) != 3:
        raise RecordError("expected an array of version, kind and fields")
    version, kind, fields = parts
    if not isinstance(version, int) or not isinstance(kind, int):
        raise RecordError("version and kind must be integers")
    return version, kind, fields
