"""Fields of attrs classes whose values are options in sections of a bundle."""

import ipaddress
import sys

import attrs

from .settings import name


def text_field(convert, allowed, default=attrs.NOTHING):
    """Return an attrs field for an option.

    ``convert`` returns the value of the option's text or raises ValueError;
    ``allowed`` describes the allowed values in error messages.
    """
    return attrs.field(
        default=default, metadata={"convert": convert, "allowed": allowed}
    )


def number_field(low, high, default=attrs.NOTHING, number_type=int):
    """Return a field for a number from ``low`` to ``high``, both allowed."""

    def convert(text):
        value = number_type(text)
        if not low <= value <= high:
            raise ValueError("out of range")
        return value

    return text_field(convert, f"{number_type.__name__} from {low} to {high}", default)


def name_field(default=attrs.NOTHING):
    """Return a field for a plain name."""

    def convert(text):
        return sys.intern(name(text))

    return text_field(convert, "a name of letters, digits, - and _", default)


def names_field(default=attrs.NOTHING):
    """Return a field for a tuple of distinct names, separated by commas."""

    def convert(text):
        items = tuple(name(item.strip()) for item in text.split(","))
        if len(set(items)) != len(items):
            raise ValueError("a name is repeated")
        return items

    return text_field(convert, "distinct names separated by commas", default)


def choice_field(names, default=attrs.NOTHING):
    """Return a field that accepts only ``names``."""

    def convert(text):
        if text not in names:
            raise ValueError("not an allowed value")
        return text

    return text_field(convert, ", ".join(names), default)


def path_prefix(text):
    """Return ``text`` if it is a URL path of printable ASCII without a query.

    Raises ValueError otherwise.
    """
    if not text.startswith("/") or not text.isascii() or not text.isprintable():
        raise ValueError("not a path")
    if any(char in text for char in " ?#"):
        raise ValueError("not a path")
    return text


def endpoint_address(text):
    """Return ``text`` in canonical form if it is an IPv4 address and a port.

    Raises ValueError otherwise.
    """
    host, _, port = text.rpartition(":")
    ip = ipaddress.IPv4Address(host)
    if not port.isascii() or not port.isdigit() or not 1 <= int(port) <= 65535:
        raise ValueError("port is not a number from 1 to 65535")
    return f"{ip}:{int(port)}"
