"""Exceptions of the package, one class for each layer."""


class CardamomError(Exception):
    """Base class of all exceptions of the package."""


class SettingsError(CardamomError):
    """A settings file contains an unknown key or a value that is not allowed."""


class BundleError(CardamomError):
    """A bundle cannot be parsed."""


class RecordError(CardamomError):
    """Bytes from the log cannot be decoded as a record."""


class ChartError(CardamomError):
    """A state chart file names an unknown state or repeats a transition."""


class WireError(CardamomError):
    """A peer violated HTTP or closed the connection before a message was complete."""


class ConnectError(WireError):
    """A connection could not be opened; no byte was sent."""


class FeedError(CardamomError):
    """The log service did not respond, or rejected a request."""


class PlatformError(CardamomError):
    """A call to the platform's VM interface failed or was refused."""


class PeerError(CardamomError):
    """A peer failed authentication or violated the message protocol."""
