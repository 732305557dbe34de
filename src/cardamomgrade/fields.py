"""Fields of attrs classes that are read from the options of bundle sections."""

import ipaddress
import sys

import attrs

from .settings import name


def text_field(convert, allowed, default=attrs.NOTHING):
    """Return an attrs field read with ``convert``; ``allowed`` is for people."""
    return attrs.field(
        default=default, metadata={"convert": convert, "allowed": allowed}
    )


def number_field(low, high, default=attrs.NOTHING, kind=int):
    """Return a field for a number from ``low`` to ``high``."""

    def convert(text):
        value = kind(text)
        if not low <= value <= high:
            raise ValueError("out of range")
        return value

    return text_field(convert, f"{kind.__name__} from {low} to {high}", default)


def name_field(default=attrs.NOTHING):
    """Return a field for a plain name."""

    def convert(text):
        return sys.intern(name(text))

    return text_field(convert, "a name of letters, digits, - and _", default)


def names_field(default=attrs.NOTHING):
    """Return a field for different names with commas between."""

    def convert(text):
        items = tuple(name(item.strip()) for item in text.split(","))
        if len(set(items)) != len(items):
            raise ValueError("a name stands twice")
        return items

    return text_field(convert, "different names with commas between", default)


def choice_field(names, default=attrs.NOTHING):
    """Return a field that accepts only ``names``."""

    def convert(text):
        if text not in names:
            raise ValueError("not one of the names")
        return text

    return text_field(convert, ", ".join(names), default)


def path_prefix(text):
    """Return ``text`` when it is the path of a URL, without query."""
    if not text.startswith("/") or not text.isascii() or not text.isprintable():
        raise ValueError("not a path")
    if any(mark in text for mark in " ?#"):
        raise ValueError("not a path")
    return text


def endpoint_address(text):
    """Return ``text`` in canonical form when it is an IP number and a port."""
    host, _, port = text.rpartition(":")
    ip = ipaddress.IPv4Address(host)
    if not port.isascii() or not port.isdigit() or not 1 <= int(port) <= 65535:
        raise ValueError("no port")
    return f"{ip}:{int(port)}"
