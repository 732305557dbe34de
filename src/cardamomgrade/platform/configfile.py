"""Checks the text of a configuration field by field, and names its fields in messages.

The decoder for nodes stops at the first fault. Operators need all of them, with paths.
"""

import json
import math
from difflib import get_close_matches

import attrs

from ..errors import RecordError
from ..jobs.configcheck import Finding, Level
from .ingress import KEY_LIMIT_CHARS
from .records import decode_config, SECRET_FIELDS

SIMILAR = 0.8  # of two names; finds lower case and a missing or an added letter
_NUMBER = (int, float)
_ALLOWED = {
    str: "text",
    int: "an integer",
    _NUMBER: "a finite number",
    bool: "true or false",
    dict: "an object",
    list: "a list",
}
_QUEUE = {
    # name in the file: (name of the attribute, type, whether it must be there)
    "name": ("name", str, True),
    "host": ("host", str, True),
    "pathPrefix": ("prefix", str, True),
    "service": ("service", str, True),
    "priority": ("priority", int, False),
    "maxAttempts": ("max_attempts", int, False),
    "stretch": ("stretch", _NUMBER, False),
    "targetLatencyMs": ("target_ms", int, False),
    "timeoutMs": ("timeout_ms", int, False),
    "advice": ("advice", dict, False),
    "public": ("public", bool, False),
}
_ADVICE = {
    "decisionMs": ("decision_ms", int, False),
    "periodMs": ("period_ms", int, False),
    "validMs": ("valid_ms", int, False),
}
_SERVICE = {
    "name": ("name", str, True),
    "enforceLimits": ("guards_capacity", bool, False),
    "standby": ("standby", bool, False),
}
_CUSTOMER = {
    "name": ("name", str, True),
    "apiKeys": ("key_digests", list, False),
    "weight": ("weight", _NUMBER, False),
    "maxCount": ("limits", dict, False),
}
_LIMITS = {
    "cpu": ("cores_m", int, False),
    "memMb": ("memory_mb", int, False),
    "gpu": ("accelerators", int, False),
}
_CONFIG = {
    "version": ("version", int, True),
    "routes": ("queues", list, True),
    "services": ("services", list, True),
    "tenants": ("customers", list, False),
    "limits": ("body_limit", dict, False),
}
_BODY = {"maxBodyBytes": ("body_limit", int, False)}
_NAMES = {
    attribute: name
    for table in (_QUEUE, _ADVICE, _SERVICE, _CUSTOMER, _LIMITS, _CONFIG)
    for name, (attribute, _, _) in table.items()
} | {"body_limit": "limits.maxBodyBytes"}


_FILE_NAMES = frozenset().union(
    _QUEUE, _ADVICE, _SERVICE, _CUSTOMER, _LIMITS, _CONFIG, _BODY
)


def path_text(path):
    """Return the path of a Finding or FieldChange with the names in the file."""
    return path if isinstance(path, str) else _join(path, _NAMES)


def _join(path, names):
    text = ""
    for part in path:
        if isinstance(part, int):
            text += f"[{part}]"
        else:
            text += ("." if text else "") + names.get(part, part)
    return text


def field_rows():
    """Yield (path, allowed, whether it must be there) of each field, for the docs."""
    tables = (
        ("", _CONFIG),
        ("routes[].", _QUEUE),
        ("routes[].advice.", _ADVICE),
        ("services[].", _SERVICE),
        ("tenants[].", _CUSTOMER),
        ("tenants[].maxCount.", _LIMITS),
        ("limits.", _BODY),
    )
    for prefix, table in tables:
        for name, (_, kind, required) in table.items():
            yield prefix + name, _ALLOWED[kind], required


@attrs.frozen
class CheckedFile:
    """A configuration file: its QueueConfig, or None when it has errors."""

    config: object
    findings: tuple


class _Checker:
    """Collects the Findings on one file.

    Objects, lists and all texts of customers are not shown: a key may stand in a wrong
    place.
    """

    def __init__(self):
        self.findings = []

    def report(self, path, value, allowed, advice, level=Level.ERROR):
        where = _join(path, {})
        self.findings.append(Finding(level, where, value, allowed, advice))

    def table(self, fields, table, path):
        """Check the fields of an object by its table."""
        for name, (_, kind, required) in table.items():
            if name == "advice" and fields.get(name) is None:
                continue
            if name in fields:
                self.value((*path, name), fields[name], kind)
            elif required:
                advice = "the field is missing: add it"
                self.report((*path, name), None, _ALLOWED[kind], advice)
        for name in fields:
            close = (
                get_close_matches(name, table, 1, SIMILAR) if name not in table else ()
            )
            if close and close[0] not in fields:
                advice = f"unknown fields are ignored; did you mean {close[0]}?"
                allowed = ", ".join(table)
                self.report((*path, name), None, allowed, advice, Level.WARNING)

    def value(self, path, value, kind):
        """Report a value of the wrong type; return whether it has the right one."""
        right = isinstance(value, kind) and isinstance(value, bool) == (kind is bool)
        if right and kind is _NUMBER:
            right = _is_finite(value)
        if not right:
            advice = f"the value is {_type_name(value)}: replace it"
            self.report(path, _shown(path, value), _ALLOWED[kind], advice)
        return right

    def objects(self, fields, name, table):
        """Check a list of objects by a table; yield (path, object) of each."""
        items = fields.get(name)
        for number, item in enumerate(items if isinstance(items, list) else ()):
            path = (name, number)
            if self.value(path, item, dict):
                self.table(item, table, path)
                yield path, item

    def nested(self, fields, name, table, path=()):
        """Check an object in a field by its table."""
        if isinstance(fields.get(name), dict):
            self.table(fields[name], table, (*path, name))

    def keys(self, fields, path):
        """Check a customer's keys, without showing any."""
        keys = fields.get("apiKeys")
        for number, key in enumerate(keys if isinstance(keys, list) else ()):
            where = (*path, "apiKeys", number)
            if not isinstance(key, str) or not key:
                self.report(where, None, "text, not empty", "replace the key")
            elif not _can_be_sent(key):
                advice = "no call can carry this key: replace it"
                allowed = f"1 to {KEY_LIMIT_CHARS} ASCII characters without spaces"
                self.report(where, None, allowed, advice, Level.WARNING)

    def weight(self, fields, path):
        """Report a weight below 0, with which nodes take no configuration."""
        value = fields.get("weight", 0)
        if isinstance(value, _NUMBER) and value < 0:
            advice = "the weight is the customer's share in jobs a second"
            self.report((*path, "weight"), value, "0 or more", advice)

    def limits(self, fields, path):
        """Report limits below 0, which nodes take for 0, no limit."""
        limits = fields.get("maxCount")
        for name in _LIMITS if isinstance(limits, dict) else ():
            value = limits.get(name, 0)
            if isinstance(value, int) and value < 0:
                advice = "nodes take it for 0, which is no limit: give the limit"
                self.report((*path, "maxCount", name), value, "0 or more", advice)


def _can_be_sent(key):
    return (
        len(key) <= KEY_LIMIT_CHARS
        and key.isascii()
        and key.isprintable()
        and " " not in key
    )


def _is_finite(value):
    try:
        return math.isfinite(value)
    except OverflowError:
        return False


def _type_name(value):
    if isinstance(value, dict):
        return "an object"
    if isinstance(value, list):
        return "a list"
    return "null" if value is None else f"of type {type(value).__name__}"


def _shown(path, value):
    secret = not path or path[0] in SECRET_FIELDS
    hidden = isinstance(value, (dict, list)) or (secret and isinstance(value, str))
    not_in_json = isinstance(value, float) and not math.isfinite(value)
    return None if hidden or not_in_json else value


def _unique_fields(checker):
    def build(pairs):
        fields = dict(pairs)
        if len(fields) < len(pairs):
            names = [name for name, _ in pairs]
            for name in sorted(_FILE_NAMES & {*names}):
                if names.count(name) > 1:
                    advice = "all but the last one are ignored: remove them"
                    checker.report((name,), None, "once in an object", advice)
        return fields

    return build


def check_config_file(data):
    """Return the CheckedFile of the bytes of a configuration file.

    Its Findings are on the format alone; their paths have the names in the file.
    """
    checker = _Checker()
    try:
        fields = json.loads(data, object_pairs_hook=_unique_fields(checker))
    except (ValueError, RecursionError) as exc:
        checker.report((), None, "a JSON object", f"not JSON: {exc}")
        return CheckedFile(None, tuple(checker.findings))
    if not checker.value((), fields, dict):
        return CheckedFile(None, tuple(checker.findings))
    checker.table(fields, _CONFIG, ())
    checker.nested(fields, "limits", _BODY)
    for path, item in checker.objects(fields, "routes", _QUEUE):
        checker.nested(item, "advice", _ADVICE, path)
    for _ in checker.objects(fields, "services", _SERVICE):
        pass
    for path, item in checker.objects(fields, "tenants", _CUSTOMER):
        checker.nested(item, "maxCount", _LIMITS, path)
        checker.keys(item, path)
        checker.weight(item, path)
        checker.limits(item, path)
    config = None
    if not any(item.level is Level.ERROR for item in checker.findings):
        try:
            config = decode_config(data)
        except RecordError as exc:
            checker.report((), None, "a configuration", f"nodes cannot read it: {exc}")
    return CheckedFile(config, tuple(checker.findings))
