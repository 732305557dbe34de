"""Output, exit codes and error handling shared by the operators' commands."""

import json
import sys
from functools import wraps

import click

from .errors import BundleError, FeedError
from .ops import to_json
from .text import render

EXIT_REFUSED = 1
EXIT_BAD_INPUT = 2
EXIT_LOG_UNAVAILABLE = 3
EXIT_UNKNOWN = 4


def print_value(value, as_json):
    """Print an attrs instance, or a list of them, as JSON or as text."""
    data = to_json(value)
    text = json.dumps(data, indent=2) + "\n" if as_json else render(data)
    click.echo(text, nl=False)


def exit_with_error(status, text):
    """Print ``text`` to standard error and exit with code ``status``."""
    click.echo(text, err=True)
    sys.exit(status)


def _exit_on_error(function):
    """Wrap a command so that the package's errors end it with their exit codes."""

    @wraps(function)
    def call(*args, **kwargs):
        try:
            return function(*args, **kwargs)
        except BundleError as exc:
            exit_with_error(EXIT_BAD_INPUT, str(exc))
        except FeedError as exc:
            exit_with_error(EXIT_LOG_UNAVAILABLE, str(exc))

    return call


def command(group, title, example):
    """Return a decorator that adds a command to a click group.

    The command gets the option ``--json`` and an example at the end of its help.
    """

    def decorate(function):
        added = group.command(title, epilog=f"Example: {example}")(
            _exit_on_error(function)
        )
        option = click.Option(["--json", "as_json"], is_flag=True, help="Print JSON.")
        added.params.append(option)
        return added

    return decorate
