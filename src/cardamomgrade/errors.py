"""Exceptions of the package, one branch for each layer."""


class CardamomError(Exception):
    """Base of every exception that the package raises."""


class SettingsError(CardamomError):
    """A settings file holds an unknown key or a value that is not allowed."""


class BundleError(CardamomError):
    """A bundle file cannot be read as a bundle."""


class RecordError(CardamomError):
    """Bytes from the log cannot be read as a record."""


class ChartError(CardamomError):
    """A state chart file names an unknown state or repeats a transition."""


class WireError(CardamomError):
    """A peer broke HTTP or closed before a message was whole."""


class ConnectError(WireError):
    """A connection could not be opened; no byte was handed over."""


class FeedError(CardamomError):
    """The log service did not answer, or refused."""


class PlatformError(CardamomError):
    """A call to the platform's VM interface failed or was refused."""


class PeerError(CardamomError):
    """A peer failed authentication or broke the message protocol."""
