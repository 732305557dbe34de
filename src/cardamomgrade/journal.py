"""Structured logging: numbered events as JSON lines on standard error.

An event is a class decorated with ``event(number)``; docs/EVENTS.md lists them.
"""

import json
import logging
import os

import attrs
from pythonjsonlogger.json import JsonFormatter

LOG_BUFFER_BYTES = 256 * 1024  # some thousand lines, for a reader that pauses
LINES_DROPPED_EVENT = "LinesDropped"
EVENTS = {}
_LOGGER = logging.getLogger("cardamomgrade")
_LOGGER.addHandler(logging.NullHandler())
_LOGGER.propagate = False


def event(number, level=logging.INFO):
    """Return a decorator that makes a class frozen and registers it as an event.

    It raises ValueError if the number is already in use.
    """

    def register(cls):
        cls = attrs.frozen(cls)
        if number in EVENTS:
            raise ValueError(f"event number {number} is already in use")
        cls.NUMBER = number
        cls.LEVEL = level
        EVENTS[number] = cls
        return cls

    return register


class BoundedStream:
    """Text stream to a file descriptor whose writes never block.

    Lines that the reader has not read yet are buffered up to ``limit`` bytes. Further
    lines are dropped; their number is logged once there is room again.
    """

    def __init__(self, fd, limit=LOG_BUFFER_BYTES):
        os.set_blocking(fd, False)
        self._fd = fd
        self._limit = limit
        self._buffer = bytearray()
        self.dropped = 0

    def write(self, text):
        """Buffer a line, or drop it if the buffer is full."""
        data = text.encode()
        if len(self._buffer) + len(data) > self._limit:
            self.dropped += 1
            return
        if self.dropped:
            lines, self.dropped = self.dropped, 0
            fields = {"event": 0, "event_name": LINES_DROPPED_EVENT, "lines": lines}
            self._buffer += json.dumps(fields).encode() + b"\n"
        self._buffer += data

    def flush(self):
        """Write as much of the buffer as is possible without blocking."""
        while self._buffer:
            try:
                sent = os.write(self._fd, self._buffer)
            except BlockingIOError:
                return
            except OSError:
                # The reader has closed the pipe, so the error cannot be logged either.
                self._buffer.clear()
                return
            del self._buffer[:sent]


def start_logging(program, name, stream=None):
    """Log events to ``stream`` (default: standard error) with program and node name."""
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


def stop_logging():
    """Discard events from now on."""
    _LOGGER.handlers[:] = [logging.NullHandler()]


def log_event(item):
    """Log an event with its attributes as fields."""
    if not _LOGGER.isEnabledFor(item.LEVEL):
        return
    fields = attrs.asdict(item, recurse=False)
    fields["event"] = item.NUMBER
    fields["event_name"] = type(item).__name__
    _LOGGER.log(item.LEVEL, None, extra=fields)
