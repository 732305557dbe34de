"""Checks of decoded JSON from outside: each raises ValueError for what is not allowed.

Records and answers may come from other writers. Python's JSON parser accepts more than
can be used: numbers beyond any float, NaN, texts that cannot be encoded as UTF-8.
"""

import json
import math

INT_LIMIT = 2**53  # whole numbers up to here survive any JSON parser and any float
NAME_LIMIT_BYTES = 200  # a key of the store has 255, with a prefix before the name
TEXT_SHOWN_CHARS = 80
PORT_MAX = 65_535
BORN_MAX_MS = 10**13  # year 2286; a foreign value above would outrank all true ones


def parse_json(data):
    """Return a JSON value from bytes or text; raise ValueError.

    Nesting that is too deep for the parser is such an error too.
    """
    try:
        return json.loads(data)
    except RecursionError as exc:
        raise ValueError("nested too deeply") from exc


def parse_object(data):
    """Return a JSON object from bytes or text as a dict; raise ValueError."""
    fields = parse_json(data)
    if not isinstance(fields, dict):
        raise ValueError("not a JSON object")
    return fields


def shown(value):
    """Return a value as a short text for an error message."""
    try:
        text = repr(value)
    except RecursionError:
        return "a deeply nested value"
    return text if len(text) <= TEXT_SHOWN_CHARS else text[:TEXT_SHOWN_CHARS] + "..."


def is_int(value, low=-INT_LIMIT, high=INT_LIMIT):
    """Return whether a value is a whole number within bounds; a bool is none."""
    is_number = isinstance(value, int) and not isinstance(value, bool)
    return is_number and low <= value <= high


def is_number(value):
    """Return whether a value is a finite number of usable size; a bool is none."""
    if isinstance(value, float):
        return math.isfinite(value)
    return is_int(value)


def is_text(value):
    """Return whether a value is a text that can be encoded as UTF-8."""
    if not isinstance(value, str):
        return False
    if value.isascii():
        return True
    try:
        value.encode()
    except UnicodeEncodeError:  # an unpaired surrogate, which JSON can express
        return False
    return True


def replace_surrogates(text):
    """Return a text with a replacement character for each unpaired surrogate."""
    return text.encode("utf-16", "surrogatepass").decode("utf-16", "replace")


def is_name(value):
    """Return whether a value is a text that fits into a key of the store."""
    return is_text(value) and 0 < len(value.encode()) <= NAME_LIMIT_BYTES


def is_header_name(value):
    """Return whether a value is a name that can be sent as the value of a header."""
    return is_name(value) and all("!" <= char <= "~" for char in value)


def is_address(value):
    """Return whether a value is ``ip:port`` with an IPv4 address in decimals.

    Any other host would be looked up while the loop waits, also a number with a leading
    zero, and a lookup that fails raises an error.
    """
    if not isinstance(value, str) or not value.isascii():
        return False
    host, _, port = value.rpartition(":")
    numbers = host.split(".")
    return (
        len(numbers) == 4
        and all(_is_decimal(item, 255) for item in numbers)
        and _is_decimal(port, PORT_MAX)
        and port != "0"
    )


def _is_decimal(text, high):
    is_short = text.isdecimal() and len(text) <= len(str(high))
    return is_short and int(text) <= high and str(int(text)) == text


def born_ms(fields):
    """Return ``born``, the start of an executor's incarnation in Unix ms, or 0.

    0 stands for a missing value and for one that is no such time.
    """
    value = fields.get("born")
    return value if is_int(value, low=1, high=BORN_MAX_MS) else 0
