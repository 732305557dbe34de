"""Generates docs/EVENTS.md, docs/SETTINGS.md and docs/MODULES.md from the code.

Usage: catalogue.py. A test checks that the pages are up to date.
"""

import importlib
import inspect
import pkgutil
import sys
from pathlib import Path

import attrs

import cardamomgrade
from cardamomgrade import bundle, journal
from cardamomgrade.control import ControlSettings
from cardamomgrade.entry import EntrySettings
from cardamomgrade.jobs.mechanisms import MECHANISMS
from cardamomgrade.jobs.settings import NodeSettings
from cardamomgrade.platform import boot, configfile

DOCS = Path(__file__).resolve().parent.parent / "docs"
PROGRAMS = (("cardamom-entry", EntrySettings), ("cardamom-control", ControlSettings))
BUNDLE_SECTIONS = (
    ("[bundle]", bundle.Header),
    ("[pool NAME]", bundle.Pool),
    ("[service NAME]", bundle.Service),
    ("[vm NAME]", bundle.Vm),
    ("[wave NAME]", bundle.Wave),
)


def first_paragraph(cls):
    """Return the first paragraph of a docstring as one line."""
    return " ".join(inspect.getdoc(cls).split("\n\n")[0].split())


def import_all():
    """Import every module, which registers all events; return the modules by name."""
    names = [
        module.name
        for module in pkgutil.walk_packages(
            cardamomgrade.__path__, f"{cardamomgrade.__name__}."
        )
    ]
    return {name: importlib.import_module(name) for name in names}


def events_page():
    """Return the text of docs/EVENTS.md."""
    import_all()
    lines = [
        "# Events",
        "",
        "Every log line is a JSON object with `time` (seconds), `level`, `program`,",
        "`node`, `event` (the number), `event_name` and the fields of the event.",
        "This page is written by `scripts/catalogue.py` and checked by a test.",
        "",
        "| number | name | level | fields | meaning |",
        "|---|---|---|---|---|",
    ]
    for number, cls in sorted(journal.EVENTS.items()):
        names = ", ".join(f"`{field.name}`" for field in attrs.fields(cls))
        level = journal.logging.getLevelName(cls.LEVEL)
        row = (str(number), cls.__name__, level, names, first_paragraph(cls))
        lines.append(f"| {' | '.join(row)} |")
    return "\n".join(lines) + "\n"


def option_rows(cls, section=None):
    """Yield a table row for each option of a settings or bundle class.

    ``section`` is the title of the section when the fields' metadata has none.
    """
    for field in attrs.fields(cls):
        if "allowed" not in field.metadata:
            continue
        title = section or f"[{field.metadata['section']}]"
        key = field.metadata.get("key") or field.name
        default = (
            "required"
            if field.default is attrs.NOTHING
            else format_default(field.default)
        )
        yield f"| `{title}` | `{key}` | {field.metadata['allowed']} | {default} |"


def format_default(default):
    """Return a default value as the text of a table cell."""
    return f"`{default}`" if default not in ("", ()) else "none"


def settings_page():
    """Return the text of docs/SETTINGS.md."""
    head = ["| section | key | allowed | default |", "|---|---|---|---|"]
    lines = [
        "# Settings and bundles",
        "",
        "Settings and bundles are INI files. Unknown sections and keys, wrong types",
        "and values out of range are refused with file, section, key, value and what",
        "is allowed. `--check-settings` prints the checked settings. This",
        "page is written by `scripts/catalogue.py` and checked by a test.",
    ]
    for program, cls in PROGRAMS:
        lines += ["", f"## {program}", "", *head, *option_rows(cls)]
    lines += ["", *platform_settings()]
    lines += ["", *platform_config()]
    lines += ["", "## Bundles", "", *head]
    for section, cls in BUNDLE_SECTIONS:
        lines += option_rows(cls, section)
    return "\n".join(lines) + "\n"


def platform_settings():
    """Return the lines on the fields that ``cardamom-jobs`` reads."""
    lines = [
        "## cardamom-jobs",
        "",
        f"Reads the platform's YAML file; `{boot.PATH_VARIABLE}` has its path. Other",
        "fields are ignored; one of another type, or a missing one without a default,",
        "is refused by name.",
        "`--check-settings` prints what was read. SIGHUP reads the file again.",
        "",
        "| field | allowed | setting |",
        "|---|---|---|",
    ]
    for name, field in boot.FIELDS.items():
        lines.append(f"| `{'.'.join(field.path)}` | {field.allowed} | `{name}` |")
    for name, field in boot.LIMITS.items():
        default = getattr(attrs.fields(NodeSettings), name).default
        lines.append(
            f"| `{'.'.join(field.path)}` | {field.allowed}; default `{default}` | "
            f"`{name}` |"
        )
    for name, (key, _) in boot.BOUNDS.items():
        lines.append(f"| `bounds.{key}` | {boot.COUNT} | `{name}` |")
    lines += [
        "",
        "`--disable MECHANISM`, which may be repeated, switches a mechanism off, for",
        "an operator who suspects it. No promise depends on one of them. Each node",
        "logs `MechanismsDisabled` at its start; all nodes should be alike.",
        "",
        "| mechanism | while enabled |",
        "|---|---|",
    ]
    lines += [f"| `{name}` | {text} |" for name, text in MECHANISMS.items()]
    return lines


def platform_config():
    """Return the lines on the fields of the operators' configuration."""
    lines = [
        "## Configuration of the platform's operators",
        "",
        "The record `config`, a JSON object. `cardamomctl config check FILE` reports",
        "all faults of a file with path, value and what is allowed, entries that can",
        "never match, and contradictions; `--in-force` or `--against FILE` also shows",
        "what it changes. Nothing is sent.",
        "Exit codes: 0 no errors, 1 warnings and `--strict`, 2 errors, 3 store down.",
        "Without `tenants` there are no customers, and no caller needs a key.",
        "",
        "| field | allowed | required |",
        "|---|---|---|",
    ]
    for path, allowed, required in configfile.field_rows():
        lines.append(f"| `{path}` | {allowed} | {'yes' if required else 'no'} |")
    return lines


def modules_page():
    """Return the text of docs/MODULES.md."""
    lines = [
        "# Modules",
        "",
        "Every module of the package with the first words of its docstring. This page",
        "is written by `scripts/catalogue.py` and checked by a test.",
        "",
        "| module | job |",
        "|---|---|",
    ]
    for name, module in import_all().items():
        short = name.partition(".")[2]
        lines.append(f"| `{short}` | {first_paragraph(module)} |")
    return "\n".join(lines) + "\n"


PAGES = (
    ("EVENTS.md", events_page),
    ("SETTINGS.md", settings_page),
    ("MODULES.md", modules_page),
)


def main():
    """Write all pages."""
    for name, page in PAGES:
        (DOCS / name).write_text(page())
    return 0


if __name__ == "__main__":
    sys.exit(main())
