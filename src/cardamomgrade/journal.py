"""Numbered events as JSON lines on standard error.

An event is an attrs class made with ``event(number)``; docs/EVENTS.md lists them.
"""

import json
import logging
import os

import attrs
from pythonjsonlogger.json import JsonFormatter

LOG_BUFFER_BYTES = 256 * 1024  # some thousand lines, against a reader that pauses
DROPPED_EVENT = "LinesDropped"
EVENTS = {}
_LOGGER = logging.getLogger("cardamomgrade")
_LOGGER.addHandler(logging.NullHandler())
_LOGGER.propagate = False


def event(number, level=logging.INFO):
    """Return a class decorator that registers an event under its number."""

    def register(cls):
        cls = attrs.frozen(cls)
        if number in EVENTS:
            raise ValueError(f"event {number} is defined twice")
        cls.NUMBER = number
        cls.LEVEL = level
        EVENTS[number] = cls
        return cls

    return register


class BoundedStream:
    """Writes lines to a file descriptor and never waits for its reader.

    Lines that the reader does not take are kept up to ``limit`` bytes; beyond it they
    are dropped, and a line tells how many once there is room again.
    """

    def __init__(self, fd, limit=LOG_BUFFER_BYTES):
        os.set_blocking(fd, False)
        self._fd = fd
        self._limit = limit
        self._buffer = bytearray()
        self.dropped = 0

    def write(self, text):
        """Take a line; drop it when the buffer is full."""
        data = text.encode()
        if len(self._buffer) + len(data) > self._limit:
            self.dropped += 1
            return
        if self.dropped:
            lines, self.dropped = self.dropped, 0
            fields = {"event": 0, "event_name": DROPPED_EVENT, "lines": lines}
            self._buffer += json.dumps(fields).encode() + b"\n"
        self._buffer += data

    def flush(self):
        """Write what the reader takes now."""
        while self._buffer:
            try:
                sent = os.write(self._fd, self._buffer)
            except BlockingIOError:
                return
            except OSError:
                # the reader is gone; there is nobody to tell
                self._buffer.clear()
                return
            del self._buffer[:sent]


def start_journal(program, name, stream=None):
    """Send events to ``stream`` (standard error) with program and node name."""
    handler = logging.StreamHandler(stream)
    handler.setFormatter(
        JsonFormatter(
            "%(created)f %(levelname)s",
            rename_fields={"created": "time", "levelname": "level"},
            static_fields={"program": program, "node": name},
        )
    )
    _LOGGER.handlers[:] = [handler]
    _LOGGER.setLevel(logging.INFO)
    _LOGGER.propagate = False


def stop_journal():
    """Send events nowhere again."""
    _LOGGER.handlers[:] = [logging.NullHandler()]


def note(item):
    """Log an event."""
    if not _LOGGER.isEnabledFor(item.LEVEL):
        return
    fields = attrs.asdict(item, recurse=False)
    fields["event"] = item.NUMBER
    fields["event_name"] = type(item).__name__
    _LOGGER.log(item.LEVEL, None, extra=fields)
