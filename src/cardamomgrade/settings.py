"""INI settings files checked into attrs classes.

A settings class is an attrs class whose fields were made with ``option``. The
section of an option is given there and its key is the field's name or ``key``.
"""

import configparser
import ipaddress
from pathlib import Path

import attrs

from .errors import SettingsError

PEERS_SECTION = "peers"
HIDDEN = "(hidden)"


def option(section, convert, allowed, default=attrs.NOTHING, secret=False, key=None):
    """Return an attrs field read from ``[section]``; ``allowed`` is for people.

    The value of a secret option is never shown. ``key`` is given when the key in the
    file differs from the field's name.
    """
    metadata = {
        "section": section,
        "convert": convert,
        "allowed": allowed,
        "secret": secret,
        "key": key,
    }
    return attrs.field(default=default, repr=not secret, metadata=metadata)


def _key(field):
    return field.metadata["key"] or field.name


def number(low, high, kind=int):
    """Return a converter for a number from ``low`` to ``high``."""

    def convert(text):
        value = kind(text)
        if not low <= value <= high:
            raise ValueError("out of range")
        return value

    return convert


def choice(*names):
    """Return a converter that accepts only ``names``."""

    def convert(text):
        if text not in names:
            raise ValueError("not one of the names")
        return text

    return convert


def address(text):
    """Return ``text`` when it is an IP number and a port."""
    host, separator, port = text.rpartition(":")
    ipaddress.IPv4Address(host)
    if not separator or not 0 <= int(port) <= 65535:
        raise ValueError("not ip:port")
    return text


def name(text):
    """Return ``text`` when it is a plain name."""
    if not text or not text.replace("-", "").replace("_", "").isalnum():
        raise ValueError("not a name")
    return text


def addresses(section):
    """Return a whole section of ``name = ip:port`` as a tuple of pairs."""
    return tuple((name(key), address(value)) for key, value in section.items())


def read_ini(path, text=None):
    """Return a ConfigParser for a file; raise SettingsError when it is no INI."""
    parser = configparser.ConfigParser(interpolation=None, strict=True)
    parser.optionxform = str
    try:
        parser.read_string(Path(path).read_text() if text is None else text)
    except (OSError, UnicodeDecodeError, configparser.Error) as exc:
        raise SettingsError(f"{path}: {exc}") from exc
    return parser


def load_settings(cls, path):
    """Return an instance of a settings class read from an INI file.

    Raises SettingsError naming the file, section, key, value and what is allowed.
    """
    parser = read_ini(path)
    by_section = {}
    for field in attrs.fields(cls):
        by_section.setdefault(field.metadata["section"], {})[_key(field)] = field
    values = {}
    for section in parser.sections():
        if section not in by_section:
            allowed = ", ".join(sorted(by_section))
            raise SettingsError(
                f"{path}: unknown section [{section}]; allowed: {allowed}"
            )
        if section == PEERS_SECTION:
            field = by_section[section][PEERS_SECTION]
            values[field.name] = _convert(path, section, field, parser[section])
            continue
        for key, text in parser[section].items():
            field = by_section[section].get(key)
            if field is None:
                allowed = ", ".join(sorted(by_section[section]))
                raise SettingsError(
                    f"{path}: unknown key [{section}] {key}; allowed: {allowed}"
                )
            values[field.name] = _convert(path, section, field, text)
    for field in attrs.fields(cls):
        if field.default is attrs.NOTHING and field.name not in values:
            section, allowed = field.metadata["section"], field.metadata["allowed"]
            raise SettingsError(
                f"{path}: missing key [{section}] {_key(field)}; allowed: {allowed}"
            )
    return cls(**values)


def _convert(path, section, field, text):
    try:
        return field.metadata["convert"](text)
    except ValueError as exc:
        allowed = field.metadata["allowed"]
        shown = HIDDEN if field.metadata["secret"] else text
        shown = shown if isinstance(shown, str) else dict(shown)
        raise SettingsError(
            f"{path}: [{section}] {_key(field)} = {shown!r}: {exc}; allowed: {allowed}"
        ) from exc


def settings_text(cfg):
    """Return checked settings as INI text."""
    lines, current = [], None
    for field in sorted(attrs.fields(type(cfg)), key=lambda f: f.metadata["section"]):
        section = field.metadata["section"]
        if section != current:
            lines.append(f"[{section}]")
            current = section
        value = getattr(cfg, field.name)
        if section == PEERS_SECTION:
            lines.extend(f"{key} = {item}" for key, item in value)
        else:
            shown = HIDDEN if field.metadata["secret"] else value
            lines.append(f"{_key(field)} = {shown}")
    return "\n".join(lines) + "\n"
