"""Typed records of the log streams and their CBOR encoding.

Wire form: a CBOR array ``[version, kind, fields]`` where ``fields`` is the array of
the class's attributes in order. Sections nest as ``[name, [[option, value], ...]]``.
"""

import attrs
import cbor2

from .errors import RecordError
from .kinds import numbered

RECORD_VERSION = 1
STREAM_FLEET = "fleet"
STREAM_CLAIMS = "claims"
STREAM_TASKS = "tasks"

_CLASSES = {}
_record = numbered(_CLASSES)


@attrs.frozen
class Section:
    """One section of a bundle; options are (name, value) pairs sorted by name."""

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
    """A bundle as the sections changed and removed since its parent."""

    version: int
    parent: bytes
    digest: bytes
    author: str
    sections: tuple = attrs.field(converter=_to_sections)
    removed: tuple = attrs.field(converter=tuple, default=())


@_record(2)
class BundleSigned:
    """A sign-off of a proposed bundle by somebody other than its author."""

    digest: bytes
    signer: str


@_record(3)
class BundleRolled:
    """The order to put a signed bundle in force in place of its parent."""

    digest: bytes
    operator: str


@_record(10)
class MemberJoined:
    """An entry takes its seat; a higher incarnation replaces a lower one."""

    entry: str
    incarnation: int
    zone: str
    address: str


@_record(11)
class MemberLeft:
    """An entry leaves by its own word and holds no request."""

    entry: str
    incarnation: int


@_record(12)
class MemberGone:
    """The platform's VM list no longer shows the VM of an entry."""

    entry: str
    incarnation: int
    control: str


@_record(20)
class BatchOpened:
    """Notice that VMs may drain; ``pool`` is set when they move to that pool.

    ``builds_on`` is the offset of the last record that the planner had folded.
    """

    wave: str
    round: int
    vms: tuple = attrs.field(converter=tuple)
    pool: str
    builds_on: int
    control: str


@_record(21)
class BatchAcked:
    """An entry knows of the batch opened at the offset ``batch``."""

    entry: str
    incarnation: int
    batch: int


@_record(22)
class DrainStarted:
    """Entries send nothing more to the VMs of the batch."""

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
    """The right to reboot one VM; the record's offset is the fence."""

    batch: int
    vm: str
    control: str


@_record(25)
class VmJoined:
    """A VM serves again after the reboot ordered at the offset ``fence``."""

    batch: int
    vm: str
    fence: int
    control: str


@_record(26)
class BatchAborted:
    """A batch is given up before its drain started."""

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
    """Part of a folded state through an offset; ``digest`` covers all parts."""

    through: int
    part: int
    parts: int
    digest: bytes
    data: bytes


@_record(40)
class KeyClaimed:
    """An entry asks to run the request that carries an idempotency key.

    The key is remembered for ``memory_ms`` of the log's time, for every reader alike.
    """

    key: bytes
    entry: str
    incarnation: int
    request: str
    memory_ms: int


@_record(41)
class KeyReleased:
    """The claimed request did not run; the key may be claimed again."""

    key: bytes
    request: str


@_record(50)
class TaskSubmitted:
    """A team asks for a task; sizes are cores, MB and accelerators declared."""

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
    """A task may start on a worker under a lease; the offset is the fence.

    ``cores`` and ``memory_mb`` are the room held for it; ``builds_on`` is the offset
    of the last record that the placer had folded.
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
    """The worker reported the task as running; the lease runs on from here."""

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
    """The team takes a task back."""

    task: str


@_record(55)
class TaskRefused:
    """A task can never run in its pool, for the stated reason."""

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
    """A record as read from a stream: offset, log time in ms, record."""

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

    Raises RecordError when the bytes are no record at all.
    """
    version, kind, fields = _unpack(data)
    if version != RECORD_VERSION or kind not in _CLASSES:
        return UnknownRecord(version, kind)
    cls = _CLASSES[kind]
    if not isinstance(fields, list) or len(fields) != len(attrs.fields(cls)):
        raise RecordError(f"{cls.__name__}: wrong number of fields")
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
        raise RecordError("not an array of version, kind and fields")
    version, kind, fields = parts
    if not isinstance(version, int) or not isinstance(kind, int):
        raise RecordError("version and kind are not numbers")
    return version, kind, fields
