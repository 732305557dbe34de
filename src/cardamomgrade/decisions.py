"""Log events of the control: records read, plans, appends and reboot calls."""

from .journal import event

SUBJECT_FIELDS = ("vm", "entry", "wave", "batch", "digest", "through")


def subject_of(record):
    """Return the main subject of a record as text for a log line, or an empty text."""
    for name in SUBJECT_FIELDS:
        value = getattr(record, name, None)
        if value is not None:
            return value.hex() if isinstance(value, bytes) else str(value)
    return ""


@event(200)
class ControlStarted:
    """The control has started and begins to read the log."""

    zone: str
    log: str
    vms: str


@event(201)
class CaughtUp:
    """The control has folded all records that the log held at its start."""

    offset: int


@event(202)
class RecordRefused:
    """The fold refused a record; the state has not changed."""

    offset: int
    record: str
    subject: str
    reason: str


@event(203)
class RecordApplied:
    """The fold accepted a record and changed the state."""

    offset: int
    record: str
    subject: str


@event(204)
class BundleInForce:
    """A bundle is in force.

    ``delay_ms`` is the time since its BundleRolled by the clock of this VM.
    """

    offset: int
    version: int
    digest: str
    delay_ms: int


@event(205)
class WaveExplained:
    """What a wave does in a pool or why it waits; logged on each change."""

    wave: str
    pool: str
    explanation: str


@event(206)
class IntentAppended:
    """This control appends a planned record."""

    record: str
    subject: str
    rank: int


@event(207)
class IntentUnsettled:
    """An append failed, or its record did not appear on the log in time."""

    record: str
    subject: str
    reason: str


@event(208)
class RebootCalled:
    """This control calls the platform to reboot a VM, as it has ordered."""

    vm: str
    fence: int


@event(209)
class RebootAnswered:
    """The platform answered a reboot call, or the call failed."""

    vm: str
    fence: int
    outcome: str


@event(210)
class RebootWithheld:
    """A reboot call waits because this control is not fresh.

    A control is fresh if it has read the tail of the log within a lease's length.
    """

    vm: str
    fence: int


@event(211)
class LogReachable:
    """The log service has become reachable or unreachable."""

    reachable: bool


@event(212)
class PlatformReachable:
    """The platform's VM list has become readable or unreadable."""

    reachable: bool
    detail: str


@event(213)
class SnapshotWritten:
    """This control appends a snapshot of the state through offset ``through``."""

    through: int
    parts: int


@event(214)
class SnapshotRestored:
    """The state was restored from a snapshot through offset ``through``."""

    through: int


@event(215)
class RecordsLost:
    """The log no longer retains the next record; the control needs a snapshot."""

    earliest: int


@event(216)
class RecordUnreadable:
    """A record on the log could not be decoded and was skipped."""

    offset: int
    detail: str


@event(217)
class ControlStopped:
    """The control was stopped by a signal."""

    offset: int
