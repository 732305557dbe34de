"""Command of ``cardamomctl`` that checks a configuration before operators send it."""

import sys
from pathlib import Path

import attrs
import click

from .console import command, EXIT_BAD_INPUT, EXIT_REFUSED, exit_with_error, print_value
from .jobctl import open_session, settings_option
from .jobs.configcheck import check_config, check_successor, Level
from .jobs.configdiff import config_difference
from .platform.configfile import check_config_file, path_text

NAMES_SHOWN = 20  # of a list in the text; the JSON output has all


@attrs.frozen
class FindingView:
    """A Finding with its path in the file."""

    level: str
    path: str
    value: object
    allowed: str
    advice: str


@attrs.frozen
class Counts:
    """Size of a configuration; ``weight_sum`` is in jobs a second."""

    version: int
    queues: int
    services: int
    customers: int | None
    weight_sum: float


@attrs.frozen
class CheckView:
    """Result of a check; ``counts`` is None when the file cannot be read as a whole.

    ``difference`` is a ConfigDifference from what ``compared_with`` names, as plain
    data. It is None where there is nothing to compare with; ``compared_with`` says why.
    """

    file: str
    errors: int
    warnings: int
    findings: list
    counts: Counts | None
    compared_with: str
    difference: object


@click.group("config")
@settings_option
@click.pass_context
def config_group(ctx, settings):
    """Check configurations."""
    ctx.obj = settings


@command(config_group, "check", "cardamomctl config check new.json --in-force")
@click.argument("file")
@click.option("--against", default="", help="Compare with this file.")
@click.option("--in-force", is_flag=True, help="Compare with the one in the store.")
@click.option("--strict", is_flag=True, help="Exit 1 when there are warnings.")
@click.pass_obj
def check(path, file, against, in_force, strict, as_json):
    """Check the configuration in FILE, and show what it changes.

    Exit codes: 0 no errors, 1 warnings and --strict, 2 errors or bad settings, 3 store
    down.
    """
    if against and in_force:
        exit_with_error(EXIT_BAD_INPUT, "--against and --in-force: give one of them")
    found = check_config_file(_read(file))
    config, findings = found.config, list(found.findings)
    earlier, source = _earlier(path, against, in_force)
    difference = None
    if config is not None:
        findings += check_config(config)
        if earlier is not None:
            findings += check_successor(config, earlier)
            difference = config_difference(earlier, config)
    view = _view(file, config, findings, source, difference)
    if as_json:
        print_value(view, as_json)
    else:
        click.echo("".join(f"{line}\n" for line in _lines(view, difference)), nl=False)
    if view.errors:
        sys.exit(EXIT_BAD_INPUT)
    if strict and view.warnings:
        sys.exit(EXIT_REFUSED)


def _read(file):
    try:
        return Path(file).read_bytes()
    except OSError as exc:
        exit_with_error(EXIT_BAD_INPUT, f"{file}: {exc.strerror}")


def _earlier(path, against, in_force):
    """Return the QueueConfig to compare with, or None, and a text that names it."""
    if against:
        found = check_config_file(_read(against))
        if found.config is None:
            text = _finding_line(against, _finding_view(found.findings[0]))
            exit_with_error(EXIT_BAD_INPUT, f"cannot be compared with: {text}")
        return found.config, against
    if not in_force:
        return None, ""
    with open_session(path) as session:
        if session.config is not None:
            return session.config, f"version {session.config.version} in force"
        return None, session.config_error or "no configuration is in force"


def _finding_view(item):
    return FindingView(
        item.level.value, path_text(item.path), item.value, item.allowed, item.advice
    )


def _view(file, config, findings, source, difference):
    levels = [item.level for item in findings]
    counts = None
    if config is not None:
        customers = config.customers
        counts = Counts(
            config.version,
            len(config.queues),
            len(config.services),
            None if customers is None else len(customers),
            sum(item.weight for item in customers or ()),
        )
    return CheckView(
        file,
        levels.count(Level.ERROR),
        levels.count(Level.WARNING),
        [_finding_view(item) for item in findings],
        counts,
        source,
        _renamed(difference),
    )


def _renamed(value):
    """Return a ConfigDifference as plain data, with the names in the file."""
    if value is None:
        return None
    return attrs.asdict(
        value,
        value_serializer=lambda _, field, item: (
            path_text(item) if field is not None and field.name == "path" else item
        ),
    )


def _finding_line(file, item):
    path = item.path or "the file"
    value = "" if item.value is None else f" = {item.value!r}"
    return (
        f"{file}: {item.level}: {path}{value}; allowed: {item.allowed}; {item.advice}"
    )


def _lines(view, difference):
    """Yield the lines of a check's result."""
    for item in view.findings:
        yield _finding_line(view.file, item)
    counts = view.counts
    if counts is None:
        yield "queues, services and customers are checked once these are mended"
    else:
        customers = (
            "no customers"
            if counts.customers is None
            else f"{counts.customers} customers (weights: {counts.weight_sum:g} jobs/s)"
        )
        yield (
            f"version {counts.version}: {counts.queues} queues, {counts.services} "
            f"services, {customers}"
        )
    if difference is not None:
        yield f"compared with {view.compared_with}:"
        yield from _difference_lines(difference)
    elif view.compared_with:
        yield f"not compared: {view.compared_with}"
    yield f"{view.errors} errors, {view.warnings} warnings"


def _difference_lines(difference):
    lines = []
    if difference.body_limit is not None:
        lines.append(_change_text(difference.body_limit))
    for kind in ("queues", "services", "customers"):
        found = getattr(difference, kind)
        for sign, names in (("+", found.added), ("-", found.removed)):
            if names:
                more = len(names) - NAMES_SHOWN
                tail = f" and {more} more" if more > 0 else ""
                shown = ", ".join(names[:NAMES_SHOWN])
                lines.append(f"{sign} {len(names)} {kind}: {shown}{tail}")
        for item in found.changed:
            texts = [_change_text(change) for change in item.fields]
            if item.keys_added or item.keys_removed:
                texts.append(f"keys: +{item.keys_added} -{item.keys_removed}")
            lines.append(f"~ {kind} {item.name}: {', '.join(texts)}")
    if difference.keys_added or difference.keys_removed:
        lines.append(
            f"keys of all customers: {difference.keys_added} added, "
            f"{difference.keys_removed} removed"
        )
    return [f"  {line}" for line in lines] or ["  no difference"]


def _change_text(change):
    return f"{path_text(change.path)}: {change.before!r} -> {change.after!r}"
