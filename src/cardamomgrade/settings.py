"""Loads INI settings files into attrs classes.

A settings class is an attrs class whose fields are made by ``option``. Each field is
one key of a section; only the section ``[peers]`` is a single field as a whole.
"""

import configparser
import ipaddress
from pathlib import Path

import attrs

from .errors import SettingsError

PEERS_SECTION = "peers"
HIDDEN_VALUE = "(hidden)"


def option(section, convert, allowed, default=attrs.NOTHING, secret=False, key=None):
    """Return an attrs field for a key of ``[section]``.

    ``convert`` returns the value of the option's text or raises ValueError;
    ``allowed`` describes the allowed values in error messages. The value of a secret
    option is never displayed. ``key`` is the key in the file if it differs from the
    field's name.
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


def number(low, high, number_type=int):
    """Return a converter for a number from ``low`` to ``high``, both allowed."""

    def convert(text):
        value = number_type(text)
        if not low <= value <= high:
            raise ValueError("out of range")
        return value

    return convert


def choice(*names):
    """Return a converter that accepts only ``names``."""

    def convert(text):
        if text not in names:
            raise ValueError("not an allowed value")
        return text

    return convert


def address(text):
    """Return ``text`` if it is an IPv4 address and a port, else raise ValueError."""
    host, separator, port = text.rpartition(":")
    ipaddress.IPv4Address(host)
    if not separator or not 0 <= int(port) <= 65535:
        raise ValueError("not of the form ip:port")
    return text


def name(text):
    """Return ``text`` if it is a name of letters, digits, - and _.

    Raises ValueError otherwise.
    """
    if not text or not text.replace("-", "").replace("_", "").isalnum():
        raise ValueError("not a name")
    return text


def addresses(section):
    """Return a section of ``name = ip:port`` keys as a tuple of pairs."""
    return tuple((name(key), address(value)) for key, value in section.items())


def read_ini(path, text=None):
    """Return a ConfigParser of ``text``, or of the file at ``path`` without a text.

    Raises SettingsError when the file cannot be read or is not valid INI.
    """
    parser = configparser.ConfigParser(interpolation=None, strict=True)
    parser.optionxform = str
    try:
        parser.read_string(Path(path).read_text() if text is None else text)
    except (OSError, UnicodeDecodeError, configparser.Error) as exc:
        raise SettingsError(f"{path}: {exc}") from exc
    return parser


def load_settings(cls, path):
    """Return an instance of a settings class read from an INI file.

    Raises SettingsError with the file, section, key, value and what is allowed.
    """
    parser = read_ini(path)
    fields_by_section = {}
    for field in attrs.fields(cls):
        fields_by_section.setdefault(field.metadata["section"], {})[_key(field)] = field
    values = {}
    for section in parser.sections():
        if section not in fields_by_section:
            allowed = ", ".join(sorted(fields_by_section))
            raise SettingsError(
                f"{path}: unknown section [{section}]; allowed: {allowed}"
            )
        if section == PEERS_SECTION:
            field = fields_by_section[section][PEERS_SECTION]
            values[field.name] = _convert(path, section, field, parser[section])
            continue
        for key, text in parser[section].items():
            field = fields_by_section[section].get(key)
            if field is None:
                allowed = ", ".join(sorted(fields_by_section[section]))
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
        shown = HIDDEN_VALUE if field.metadata["secret"] else text
        shown = shown if isinstance(shown, str) else dict(shown)
        raise SettingsError(
            f"{path}: [{section}] {_key(field)} = {shown!r}: {exc}; allowed: {allowed}"
        ) from exc


def settings_text(cfg):
    """Return loaded settings as INI text, with the values of secrets hidden."""
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
            shown = HIDDEN_VALUE if field.metadata["secret"] else value
            lines.append(f"{_key(field)} = {shown}")
    return "\n".join(lines) + "\n"
