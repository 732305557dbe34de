"""Numbered events of the control: what it read, planned, appended and called."""

from .journal import event

SUBJECT_FIELDS = ("vm", "entry", "wave", "batch", "digest", "through")


def subject_of(record):
    """Return what a record is about, as text for a log line."""
    for name in SUBJECT_FIELDS:
        value = getattr(record, name, None)
        if value is not None:
            return value.hex() if isinstance(value, bytes) else str(value)
    return ""


@event(200)
class ControlStarted:
    """A control began to read the log."""

    zone: str
    log: str
    vms: str


@event(201)
class CaughtUp:
    """The control has folded all that the log held at its start."""

    offset: int


@event(202)
class RecordRefused:
    """The fold refused a record; the state is as it was."""

    offset: int
    record: str
    subject: str
    reason: str


@event(203)
class RecordApplied:
    """The fold took a record and changed the state."""

    offset: int
    record: str
    subject: str


@event(204)
class BundleInForce:
    """A bundle is in force; ``delay_ms`` from its roll by this VM's clock."""

    offset: int
    version: int
    digest: str
    delay_ms: int


@event(205)
class WaveExplained:
    """What a wave does in a pool or why it waits; logged when it changes."""

    wave: str
    pool: str
    explanation: str


@event(206)
class IntentAppended:
    """This control appends a record that it planned."""

    record: str
    subject: str
    rank: int


@event(207)
class IntentUnsettled:
    """An append failed or was not read back."""

    record: str
    subject: str
    reason: str


@event(208)
class RebootCalled:
    """This control calls the platform under its own order."""

    vm: str
    fence: int


@event(209)
class RebootAnswered:
    """The outcome of a reboot call."""

    vm: str
    fence: int
    outcome: str


@event(210)
class RebootWithheld:
    """A reboot call waits since this control is not fresh."""

    vm: str
    fence: int


@event(211)
class LogReachable:
    """The log service answers again, or no longer."""

    reachable: bool


@event(212)
class PlatformReachable:
    """The VM list is read again, or no longer."""

    reachable: bool
    detail: str


@event(213)
class SnapshotWritten:
    """This control appends a snapshot of the state through an offset."""

    through: int
    parts: int


@event(214)
class SnapshotRestored:
    """The state was taken from a snapshot through an offset."""

    through: int


@event(215)
class RecordsLost:
    """The next record is not retained; a snapshot is needed to go on."""

    earliest: int


@event(216)
class RecordUnreadable:
    """A record of the stream could not be read and was passed over."""

    offset: int
    detail: str


@event(217)
class ControlStopped:
    """The control leaves in order."""

    offset: int
