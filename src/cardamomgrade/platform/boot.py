"""Reads the platform's settings file (YAML) into NodeSettings."""

import os
from pathlib import Path

import attrs
import yaml

from ..errors import SettingsError
from ..jobs.settings import NodeSettings

PATH_VARIABLE = "CARDAMOMGRADE_BOOT"
MS = 1000


@attrs.frozen
class _Field:
    """Path of a value in the file, its Python type and the allowed values as a text."""

    path: tuple
    kind: type | tuple
    allowed: str


_TEXT, COUNT = "text", "a number of 0 or more"
POSITIVE = "a number above 0"
_NUMBER = (int, float)
FIELDS = {
    "node": _Field(("nodeName",), str, _TEXT),
    "zone": _Field(("zone",), str, _TEXT),
    "front": _Field(("listen", "front"), str, "ip:port"),
    "ready": _Field(("listen", "ready"), str, "ip:port"),
    "store": _Field(("platform", "address"), str, "ip:port"),
    "machines": _Field(("cloud", "address"), str, "ip:port"),
    "vm_orders_per_s": _Field(("cloud", "dutyPerS"), _NUMBER, COUNT),
    "core_share": _Field(("limits", "cpuShare"), _NUMBER, COUNT),
    "cores": _Field(("limits", "cores"), _NUMBER, COUNT),
    "link_mbps": _Field(("limits", "linkMbps"), _NUMBER, COUNT),
}
LIMITS = {
    # optional; the default is that of NodeSettings
    "max_fds": _Field(("limits", "maxFds"), int, POSITIVE),
    "memory_mb": _Field(("limits", "memoryMb"), _NUMBER, POSITIVE),
}
BOUNDS = {
    # setting: (key in the file, factor to ms)
    "max_lease_ms": ("maxHoldMs", 1),
    "machine_lease_ms": ("leaseMs", 1),
    "stop_ms": ("stopTimeoutMs", 1),
    "upkeep_ms": ("maintenanceS", MS),
    "status_ms": ("status_s", MS),
    "grace_ms": ("graceS", MS),
}


def settings_path():
    """Return the path in PATH_VARIABLE; raise SettingsError when it is not set."""
    path = os.environ.get(PATH_VARIABLE)
    if not path:
        raise SettingsError(f"environment variable {PATH_VARIABLE} is not set")
    return path


def _has(tree, path):
    for key in path:
        if not isinstance(tree, dict) or key not in tree:
            return False
        tree = tree[key]
    return True


def _lookup(path, tree, field):
    value = tree
    for key in field.path:
        if not isinstance(value, dict) or key not in value:
            raise SettingsError(
                f"{path}: missing {'.'.join(field.path)}; allowed: {field.allowed}"
            )
        value = value[key]
    if not isinstance(value, field.kind) or isinstance(value, bool):
        raise SettingsError(
            f"{path}: {'.'.join(field.path)} = {value!r}; allowed: {field.allowed}"
        )
    return value


def parse_settings(path, text):
    """Return the NodeSettings in the text of a settings file.

    Unknown fields are ignored. Raises SettingsError for a field that is missing or of
    the wrong type, with its path, value and what is allowed.
    """
    try:
        tree = yaml.load(text, Loader=getattr(yaml, "CSafeLoader", yaml.SafeLoader))
    except yaml.YAMLError as exc:
        raise SettingsError(f"{path}: {exc}") from exc
    if not isinstance(tree, dict):
        raise SettingsError(f"{path}: the top level is not a mapping")
    values = {name: _lookup(path, tree, field) for name, field in FIELDS.items()}
    for name, (key, factor) in BOUNDS.items():
        field = _Field(("bounds", key), _NUMBER, COUNT)
        values[name] = int(_lookup(path, tree, field) * factor)
    for name, field in LIMITS.items():
        if _has(tree, field.path):
            values[name] = _lookup(path, tree, field)
            if values[name] <= 0:
                raise SettingsError(
                    f"{path}: {'.'.join(field.path)} = {values[name]!r}; "
                    f"allowed: {field.allowed}"
                )
    return NodeSettings(**values)


def load_settings(path=""):
    """Return the NodeSettings of a file, by default that of PATH_VARIABLE.

    Raises SettingsError when the file cannot be read or is not valid.
    """
    path = path or settings_path()
    try:
        text = Path(path).read_text()
    except (OSError, UnicodeDecodeError) as exc:
        raise SettingsError(f"{path}: {exc}") from exc
    return parse_settings(path, text)
