"""Program ``cardamomctl``: publishes, signs off and rolls bundles, shows the fleet.

Exit codes: 0 done, 1 refused, 2 bad input, 3 log unavailable, 4 outcome unknown.
"""

import sys
from pathlib import Path

import attrs
import click

from . import console
from .bundle import diff_sections, parse_bundle
from .configctl import config_group
from .console import (
    EXIT_BAD_INPUT,
    EXIT_LOG_UNAVAILABLE,
    EXIT_REFUSED,
    EXIT_UNKNOWN,
    exit_with_error,
    print_value,
)
from .customerctl import customer
from .errors import BundleError, PeerError
from .explain import bundle_view, bundles_view, explain_vm, fleet_view, wave_views
from .jobctl import job
from .records import BundleProposed, BundleRolled, BundleSigned
from .refusal import Reason, Refusal
from .session import fetch_ops_pages, LogSession
from .text import diff_text

DIGEST_MIN_CHARS = 6
DIGEST_SHOWN_CHARS = 12
EPILOGS = {
    "validate": "cardamomctl bundle validate examples/agence/bundle.ini",
    "diff": "cardamomctl --log 127.0.0.1:21000 bundle diff bundle.ini",
    "publish": "cardamomctl --log 127.0.0.1:21000 --operator n-benali "
    "bundle publish bundle.ini",
    "sign-off": "cardamomctl --log 127.0.0.1:21000 --operator s-alami "
    "bundle sign-off 1f6a0c2b",
    "roll": "cardamomctl --log 127.0.0.1:21000 --operator s-alami bundle roll 1f6a0c2b",
    "bundle status": "cardamomctl --log 127.0.0.1:21000 bundle status --json",
    "fleet status": "cardamomctl --log 127.0.0.1:21000 fleet status",
    "wave status": "cardamomctl --log 127.0.0.1:21000 wave status "
    "--ops 127.0.0.1:21050 --key KEY",
    "explain": "cardamomctl --log 127.0.0.1:21000 explain fines-3",
}


@attrs.frozen
class Access:
    """Address of the log and name of the operator."""

    log: str
    operator: str


@attrs.frozen
class CheckedBundle:
    """Summary of a valid bundle file."""

    path: str
    version: int
    digest: str
    pools: int
    services: int
    vms: int
    waves: int


@attrs.frozen
class Accepted:
    """A record that was appended and accepted at ``offset``."""

    record: str
    digest: str
    offset: int


@attrs.frozen
class NodePage:
    """A view of one node; ``error`` is the reason if it could not be read."""

    address: str
    page: object = None
    error: str = ""


@attrs.frozen
class Refused:
    """The refusal of a record."""

    refused: Refusal


def _command(group, title, key=None):
    """Return a decorator that adds a command with ``--json`` and its example."""
    return console.command(group, title, EPILOGS[key or title])


def _open_log(access):
    """Return a LogSession that has read the log to its tail."""
    if not access.log:
        exit_with_error(
            EXIT_BAD_INPUT, "the log's address is missing: --log or CARDAMOM_LOG"
        )
    session = LogSession(access.log)
    session.catch_up()
    return session


def _operator_name(access):
    if not access.operator:
        exit_with_error(
            EXIT_BAD_INPUT,
            "the operator's name is missing: --operator or CARDAMOM_OPERATOR",
        )
    return access.operator


def _read_bundle(path):
    try:
        text = Path(path).read_text()
    except (OSError, UnicodeDecodeError) as exc:
        raise BundleError(f"{path}: {exc}") from exc
    return parse_bundle(text, path)


def _print_outcome(record, verdict, as_json):
    """Print the outcome of a submitted record; exit with its code unless accepted."""
    kind = type(record).__name__
    if isinstance(verdict, Refusal):
        unknown = verdict.reason is Reason.UNKNOWN
        status = EXIT_UNKNOWN if unknown else EXIT_LOG_UNAVAILABLE
        exit_with_error(status, f"{kind}: {verdict}")
    if verdict.refusal is not None:
        if as_json:
            print_value(Refused(verdict.refusal), as_json)
        exit_with_error(EXIT_REFUSED, f"{kind} refused: {verdict.refusal}")
    print_value(Accepted(kind, record.digest.hex(), verdict.logged.offset), as_json)


def _bundle_in_force(state):
    """Describe the bundle in force, for the message about a refused digest."""
    view = bundle_view(state)
    if view is None:
        return "no bundle is in force"
    return (
        f"in force is version {view.version} {view.digest[:DIGEST_SHOWN_CHARS]}, "
        f"rolled at offset {view.offset} by {view.operator}"
    )


def _find_digest(state, prefix):
    """Return the digest that starts with the hexadecimal ``prefix``.

    The candidates are the proposals and the bundle in force. The program exits if
    none or several match or the prefix is too short.
    """
    prefix = prefix.lower()
    digests = list(state.proposals)
    if state.bundle is not None:
        digests.append(state.bundle.digest)
    found = [digest for digest in digests if digest.hex().startswith(prefix)]
    if len(prefix) < DIGEST_MIN_CHARS or len(found) > 1:
        exit_with_error(
            EXIT_BAD_INPUT, f"{prefix}: more digits of the digest are needed"
        )
    if not found:
        exit_with_error(
            EXIT_REFUSED, f"{prefix}: no such proposal; {_bundle_in_force(state)}"
        )
    return found[0]


@click.group()
@click.option("--log", envvar="CARDAMOM_LOG", default="", help="ip:port of the log.")
@click.option("--operator", envvar="CARDAMOM_OPERATOR", default="", help="Your name.")
@click.pass_context
def main(ctx, log, operator):
    """Drive a fleet through bundles, and see what it does.

    Exit codes: 0 done, 1 refused, 2 bad input, 3 log unavailable, 4 outcome unknown.
    """
    ctx.obj = Access(log, operator)


main.add_command(job)
main.add_command(customer)
main.add_command(config_group)


@main.group()
def bundle():
    """Check, publish, sign off and roll bundles."""


@main.group()
def fleet():
    """See the fleet."""


@main.group()
def wave():
    """See maintenance waves."""


@_command(bundle, "validate")
@click.argument("path", type=click.Path(dir_okay=False))
def validate(path, as_json):
    """Check a bundle file."""
    item = _read_bundle(path)
    sizes = map(len, (item.pools, item.services, item.vms, item.waves))
    print_value(CheckedBundle(path, item.version, item.digest.hex(), *sizes), as_json)


@_command(bundle, "diff")
@click.argument("path", type=click.Path(dir_okay=False))
@click.pass_obj
def diff(access, path, as_json):
    """Show what a bundle file would change in the bundle in force."""
    item = _read_bundle(path)
    state = _open_log(access).state
    difference = diff_sections(_sections(state), item.sections)
    if as_json:
        print_value(difference, as_json)
    else:
        click.echo(diff_text(_sections(state), difference), nl=False)


def _sections(state):
    return state.bundle.sections if state.bundle else ()


@_command(bundle, "publish")
@click.argument("path", type=click.Path(dir_okay=False))
@click.pass_obj
def publish(access, path, as_json):
    """Propose a bundle as its difference from the bundle in force."""
    operator, item = _operator_name(access), _read_bundle(path)
    if item.author != operator:
        exit_with_error(
            EXIT_REFUSED, f"the bundle's author is {item.author}, not {operator}"
        )
    session = _open_log(access)
    record = _proposal(session.state, item)
    _print_outcome(record, session.submit(record), as_json)


def _proposal(state, item):
    parent = state.bundle.digest if state.bundle else b""
    difference = diff_sections(_sections(state), item.sections)
    return BundleProposed(
        item.version,
        parent,
        item.digest,
        item.author,
        difference.changed,
        difference.removed,
    )


@_command(bundle, "sign-off")
@click.argument("digest")
@click.pass_obj
def sign_off(access, digest, as_json):
    """Sign off a proposed bundle that somebody else wrote."""
    operator, session = _operator_name(access), _open_log(access)
    record = BundleSigned(_find_digest(session.state, digest), operator)
    _print_outcome(record, session.submit(record), as_json)


@_command(bundle, "roll")
@click.argument("digest")
@click.pass_obj
def roll(access, digest, as_json):
    """Put a signed-off bundle in force everywhere."""
    operator, session = _operator_name(access), _open_log(access)
    record = BundleRolled(_find_digest(session.state, digest), operator)
    _print_outcome(record, session.submit(record), as_json)


def _ops_options(function):
    key = click.option("--key", envvar="CARDAMOM_KEY", default="", help="Shared key.")
    ops = click.option(
        "--ops", multiple=True, help="An operators' ip:port; may be repeated."
    )
    return ops(key(function))


def _fetch_views(addresses, key, target):
    if not key:
        exit_with_error(
            EXIT_BAD_INPUT, "the shared key is missing: --key or CARDAMOM_KEY"
        )
    return [
        NodePage(address, error=str(value))
        if isinstance(value, PeerError)
        else NodePage(address, value)
        for address, value in fetch_ops_pages(addresses, key, target)
    ]


@attrs.frozen
class NodesView:
    """A view computed from the log, and the views of the nodes given by ``--ops``."""

    log: object
    nodes: list


def _print_with_nodes(value, ops, key, as_json):
    if ops:
        value = NodesView(value, _fetch_views(ops, key, "/status"))
    print_value(value, as_json)


@_command(bundle, "status", "bundle status")
@_ops_options
@click.pass_obj
def bundle_status(access, ops, key, as_json):
    """Show the bundle in force and the proposals; with --ops, nodes' too."""
    _print_with_nodes(bundles_view(_open_log(access).state), ops, key, as_json)


@_command(fleet, "status", "fleet status")
@_ops_options
@click.pass_obj
def fleet_status(access, ops, key, as_json):
    """Show the members, VMs and open batches; with --ops, nodes' views too."""
    _print_with_nodes(fleet_view(_open_log(access).state), ops, key, as_json)


@_command(wave, "status", "wave status")
@_ops_options
@click.pass_obj
def wave_status(access, ops, key, as_json):
    """Show each wave's progress; with --ops of a control, why it waits."""
    _print_with_nodes(wave_views(_open_log(access).state), ops, key, as_json)


@_command(main, "explain")
@click.argument("subject")
@_ops_options
@click.pass_obj
def explain(access, subject, ops, key, as_json):
    """Show the history of a VM from the log, or of a request from the entries."""
    if ops:
        pages = _fetch_views(ops, key, f"/explain?id={subject}")
        print_value([page for page in pages if not page.error] or pages, as_json)
        if all(page.error for page in pages):
            sys.exit(EXIT_REFUSED)
        return
    session = _open_log(access)
    result = explain_vm(session.state, session.history, subject)
    if isinstance(result, Refusal):
        exit_with_error(
            EXIT_REFUSED, f"{result}; for a request, name the entries with --ops"
        )
    print_value(result, as_json)


if __name__ == "__main__":
    main()
