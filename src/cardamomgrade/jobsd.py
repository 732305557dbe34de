"""Program ``cardamom-jobs``: accepts jobs from callers and runs them on executors."""

import sys

import click

from .errors import SettingsError
from .jobs.mechanisms import MECHANISMS, Switches
from .jobs.node import Node
from .journal import BoundedStream, start_logging
from .loop import Loop
from .platform.adapter import Platform
from .platform.boot import load_settings

EXIT_BAD_SETTINGS = 2
PROGRAM = "cardamom-jobs"


class MetricsPage(click.ParamType):
    """Parameter type ``PORT/PATH``: a pair of the port and the path with its slash."""

    name = "PORT/PATH"

    def convert(self, value, param, ctx):
        """Return (port, path); fail when the value is not PORT/PATH."""
        port, slash, path = value.partition("/")
        if not port.isdecimal() or not 0 < int(port) < 2**16 or not slash:
            self.fail(f"{value!r} is not PORT/PATH, such as 7070/metrics", param, ctx)
        return int(port), f"/{path}"


@click.command(help=__doc__)
@click.option("--check-settings", is_flag=True, help="Print settings and exit.")
@click.option(
    "--metrics", type=MetricsPage(), help="Serve metrics at this port and path."
)
@click.option(
    "--disable",
    multiple=True,
    metavar="MECHANISM",
    help="Switch a mechanism off; may be repeated.",
)
@click.option("--list-mechanisms", is_flag=True, help="Print mechanisms and exit.")
def main(check_settings, metrics, disable, list_mechanisms):
    """Run a node with the platform's settings file."""
    if list_mechanisms:
        for name, text in MECHANISMS.items():
            click.echo(f"{name:18} {text}")
        return
    try:
        switches = Switches.parse(disable)
        cfg = load_settings()
    except SettingsError as exc:
        click.echo(str(exc), err=True)
        sys.exit(EXIT_BAD_SETTINGS)
    if check_settings:
        click.echo(str(cfg))
        return
    start_logging(PROGRAM, cfg.node, BoundedStream(sys.stdout.fileno()))
    loop = Loop()
    node = Node(loop, cfg, Platform, metrics, switches)
    loop.on_stop(node.stop)
    loop.on_reload(lambda: node.reload(load_settings))
    node.start()
    loop.run()


if __name__ == "__main__":
    main()
