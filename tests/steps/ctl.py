"""Steps for the operators' command line."""

import json
import tempfile
from pathlib import Path
from unittest import mock

import click
from behave import given, then, when
from click.testing import CliRunner

from cardamomgrade import ctl, session
from cardamomgrade.bundle import parse_bundle
from cardamomgrade.refusal import Reason, Refusal
from fleets import bundle_text
from harness import free_address, http, listening, start, wait_for

ROOT = Path(__file__).resolve().parents[2]
RACK_VMS_MAX = 4


@given("a log for operators")
def step_log(context):
    folder = tempfile.TemporaryDirectory()
    context.add_cleanup(folder.cleanup)
    context.log_address = free_address()
    settings = Path(folder.name) / "standin.ini"
    settings.write_text(f"[standin]\nlisten = {context.log_address}\n")
    context.bundle_path = Path(folder.name) / "bundle.ini"
    context.bundle_path.write_text(bundle_text())
    start("standin", str(settings))
    wait_for(lambda: listening(context.log_address))


def _set_faults(context, **values):
    return json.loads(http(context.log_address, "/faults", values)[2])


@when("the log loses its next answers")
def step_lose_answers(context):
    _set_faults(context, lose_answers=2)


@then("the log holds {count:d} records")
def step_holds(context, count):
    assert _set_faults(context)["appends"] == count


@when("the log is down")
def step_log_down(context):
    _set_faults(context, log="down")
    quick = mock.patch.object(session, "CATCH_UP_TIMEOUT_S", 0.5)
    quick.start()
    context.add_cleanup(quick.stop)


@when("an append's outcome stays unknown")
def step_unknown(context):
    unknown = Refusal(Reason.UNKNOWN, "not read back")
    patch = mock.patch.object(
        session.LogSession, "submit", lambda self, record: unknown
    )
    patch.start()
    context.add_cleanup(patch.stop)


def _run(context, args, operator=""):
    options = ["--log", context.log_address, "--operator", operator]
    return CliRunner().invoke(ctl.main, [*options, *args])


@then('"{command}" by {operator} exits {code:d} saying "{text}"')
def step_command(context, command, operator, code, text):
    digest = parse_bundle(context.bundle_path.read_text()).digest.hex()
    words = command.replace("BUNDLE", str(context.bundle_path)).replace(
        "DIGEST", digest[:10]
    )
    result = _run(context, words.split(), operator.strip('"'))
    assert result.exit_code == code, (result.exit_code, result.output)
    assert text in result.output, result.output
    if "--json" in command:
        json.loads(result.output)


@then("a broken bundle exits 2 naming file, section, key, value and what is allowed")
def step_broken(context):
    path = context.bundle_path
    path.write_text(bundle_text().replace("slots = 8", "slots = none", 1))
    result = _run(context, ["bundle", "validate", str(path)])
    assert result.exit_code == 2
    for text in (str(path), "[pool a]", "slots", "'none'", "allowed"):
        assert text in result.output, result.output


def _digest(path):
    return parse_bundle(path.read_text()).digest.hex()


def _publish_and_sign(context, path, author):
    for args, operator in (
        (["publish", str(path)], author),
        (["sign-off", _digest(path)], "boris"),
    ):
        result = _run(context, ["bundle", *args], operator)
        assert result.exit_code == 0, result.output


@given("the bundle of anna is rolled by boris")
def step_first_roll(context):
    _publish_and_sign(context, context.bundle_path, "anna")
    result = _run(context, ["bundle", "roll", _digest(context.bundle_path)], "boris")
    assert result.exit_code == 0, result.output


@when("anna and clara each publish a next bundle")
def step_rivals(context):
    context.rivals = {}
    for author, round_ in (("anna", 2), ("clara", 3)):
        path = context.bundle_path.with_name(f"{author}.ini")
        text = bundle_text(round_=round_, version=2)
        path.write_text(text.replace("author = anna", f"author = {author}"))
        context.rivals[author] = path
        _publish_and_sign(context, path, author)


@then('rolling {author}\'s bundle exits {code:d} saying "{text}"')
def step_rival_roll(context, author, code, text):
    digest = _digest(context.rivals[author])
    result = _run(context, ["bundle", "roll", digest], "boris")
    assert result.exit_code == code and text in result.output, result.output


def _commands(group, path=()):
    for name, command in group.commands.items():
        if isinstance(command, click.Group):
            yield from _commands(command, (*path, name))
        else:
            yield (*path, name), command


@then('every command\'s help has an example and "--json"')
def step_help(context):
    commands = dict(_commands(ctl.main))
    assert len(commands) == 16, list(commands)
    for path, command in commands.items():
        text = CliRunner().invoke(ctl.main, [*path, "--help"]).output
        assert "Example: cardamomctl" in text and "--json" in text, text
        assert " ".join(path) in command.epilog, command.epilog


@then('the example of "{name}" has {vms:d} VMs in {zones:d} zones and {seats:d} seats')
def step_example(context, name, vms, zones, seats):
    path = ROOT / "examples" / name / "bundle.ini"
    bundle = parse_bundle(path.read_text(), str(path))
    racks = [vm.rack for vm in bundle.vms.values()]
    assert len(bundle.vms) == vms and len(bundle.seats) == seats
    assert len({vm.zone for vm in bundle.vms.values()}) == zones
    assert max(map(racks.count, racks)) == RACK_VMS_MAX
    assert len(bundle.services) == len(bundle.pools) == 5
