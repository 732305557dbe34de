"""Steps for the check of a configuration; the command runs inside the test."""

import copy
import json
import re
import tempfile
from pathlib import Path

from behave import given, then, when
from click.testing import CliRunner

from cardamomgrade.ctl import main

DEPTH = 100_000
VALID = {
    "version": 4,
    "routes": [
        {
            "name": name,
            "host": "h",
            "pathPrefix": f"/{name}/",
            "kind": "unsafe",
            "service": "s",
            "priority": 0,
            "maxAttempts": 3,
            "stretch": 1.6,
            "targetLatencyMs": 600,
            "timeoutMs": 3000,
        }
        for name in ("a", "b")
    ],
    "services": [{"name": "s"}, {"name": "spare", "standby": True}],
    "tenants": [
        {
            "name": "c1",
            "apiKeys": ["k-one"],
            "weight": 3,
            "maxCount": {"cpu": 4000, "memMb": 0, "gpu": 0},
        },
        {"name": "c2", "apiKeys": ["k-two"], "weight": 2, "maxCount": {"cpu": 0}},
    ],
    "limits": {"maxBodyBytes": 1000},
}


def run(context, *options):
    """Run the check; keep its output; return its exit code."""
    context.file.write_text(context.raw or json.dumps(context.fields))
    words = ["config", "check", str(context.file), *options]
    done = CliRunner().invoke(main, words)
    assert done.exception is None or isinstance(done.exception, SystemExit), done
    context.output = done.output
    return done.exit_code


def check(context, code, text, *options):
    found = run(context, *options)
    assert found == code, (found, context.output)
    step_also_prints(context, text)


@given("a valid configuration file of version 4 with 2 queues and 2 customers")
def step_file(context):
    folder = Path(tempfile.mkdtemp())
    context.file, context.earlier = folder / "new.json", folder / "old.json"
    context.fields, context.raw = copy.deepcopy(VALID), ""


@given("the file is kept as the earlier version")
def step_keep(context):
    context.earlier.write_text(json.dumps(context.fields))


@when("the file's {field} is {value}")
def step_set(context, field, value):
    *path, last = [
        int(part) if part.isdecimal() else part
        for part in re.findall(r"[A-Za-z]+|\d+", field)
    ]
    item = context.fields
    for part in path:
        item = item[part]
    item[last] = json.loads(value)


@when("the file has no tenants")
def step_no_tenants(context):
    del context.fields["tenants"]


@when("the file has {count:d} more queues")
def step_more_queues(context, count):
    first = context.fields["routes"][0]
    for number in range(count):
        name = f"q-{number}"
        context.fields["routes"].append(
            {**first, "name": name, "pathPrefix": f"/{name}/"}
        )


@when("the file holds {text}")
def step_text(context, text):
    deep = "[" * DEPTH + "]" * DEPTH
    context.raw = deep if text == "a list 100000 deep" else text


@when("the earlier file holds no JSON")
def step_earlier_text(context):
    context.earlier.write_text("{")


@then('the check exits {code:d} printing "{text}"')
def step_check(context, code, text):
    check(context, code, text)


@then('the strict check exits {code:d} printing "{text}"')
def step_strict(context, code, text):
    check(context, code, text, "--strict")


@then('the check against the earlier version exits {code:d} printing "{text}"')
def step_against(context, code, text):
    check(context, code, text, "--against", str(context.earlier))


@then('it prints "{text}"')
def step_also_prints(context, text):
    # JSON's names of values in the examples, as the command shows them.
    shown = {"true": "True", "false": "False", "null": "None"}
    pattern = "= (true|false|null);"
    text = re.sub(pattern, lambda found: f"= {shown[found[1]]};", text)
    assert text in context.output, context.output


@then('neither the text nor the JSON of the check contains "{key}"')
def step_no_key(context, key):
    for options in ((), ("--json",)):
        run(context, "--against", str(context.earlier), *options)
        assert context.output and key not in context.output, context.output
