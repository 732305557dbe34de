"""Numbered events as JSON lines on standard error.

An event is an attrs class made with ``event(number)``; docs/EVENTS.md lists them.
"""

import logging

import attrs
from pythonjsonlogger.json import JsonFormatter

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
