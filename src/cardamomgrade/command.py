"""Command line shared by the daemons."""

import sys

import click

from .errors import SettingsError
from .settings import load_settings, settings_text

EXIT_BAD_SETTINGS = 2


def settings_command(cls, run, help_text):
    """Return a click command that loads settings of ``cls`` and calls ``run(cfg)``."""

    @click.command(help=help_text)
    @click.argument("path", type=click.Path(dir_okay=False))
    @click.option("--check-settings", is_flag=True, help="Print settings and exit.")
    def command(path, check_settings):
        try:
            cfg = load_settings(cls, path)
        except SettingsError as exc:
            click.echo(str(exc), err=True)
            sys.exit(EXIT_BAD_SETTINGS)
        if check_settings:
            click.echo(settings_text(cfg), nl=False)
            return
        run(cfg)

    return command
