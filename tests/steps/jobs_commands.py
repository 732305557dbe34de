"""Steps for the commands on jobs; every program runs as a process of its own."""

import configparser
import json
import os
import subprocess
import sys
import tempfile
from pathlib import Path

import yaml
from behave import given, then, when

import harness
from cardamomgrade.emulator.program import CONFIG

COMMAND_LIMIT_S = 30
EXTRA_CUSTOMERS = [{"name": "c", "apiKeys": [""], "weight": 1}]
FILES = {
    "SAME": CONFIG,
    "CONFIG": {**CONFIG, "tenants": EXTRA_CUSTOMERS},
    "JOB": {"steps": [{"tasks": 1}]},
    "EMPTY": {},
    "STRANGE": {"steps": [{"tasks": 1, "cores": 3}]},
    "LOOP": {"steps": [{"tasks": 1, "after": [0]}]},
}


def ctl(context, *arguments, group=("job",)):
    """Run ``cardamomctl GROUP`` and return the finished process."""
    env = dict(os.environ, PYTHONPATH=str(harness.ROOT / "src"))
    env["CARDAMOMGRADE_BOOT"] = str(context.boot)
    done = subprocess.run(
        [sys.executable, "-m", "cardamomgrade.ctl", *group, *arguments],
        env=env,
        capture_output=True,
        text=True,
        timeout=COMMAND_LIMIT_S,
    )
    context.printed = getattr(context, "printed", "") + done.stdout + done.stderr
    return done


def arguments(context, command):
    """Return a command's arguments, with file names and the job id filled in."""
    folder = Path(context.folder)
    found = []
    for word in command.split():
        if word in FILES:
            path = folder / f"{word}.json"
            path.write_text(json.dumps(FILES[word]))
            word = str(path)
        found.append(word.replace("ID", getattr(context, "job", "ID")))
    return found


@given("an emulated platform and {count:d} nodes as processes")
def step_processes(context, count, *options):
    context.folder = tempfile.mkdtemp()
    context.boot = Path(context.folder) / "n1.yaml"
    context.emulator = harness.start(
        "emulator.program", context.folder, "--nodes", str(max(1, count)), *options
    )
    harness.wait_for(context.boot.exists)
    harness.wait_for(lambda: yaml.safe_load(context.boot.read_text()))
    for number in range(1, count + 1):
        path = Path(context.folder) / f"n{number}.yaml"
        harness.wait_for(path.exists)
        with (Path(context.folder) / f"n{number}.log").open("wb") as log:
            env = {"CARDAMOMGRADE_BOOT": str(path)}
            harness.start("jobsd", env=env, output=log)


@given(
    "an emulated platform with {customers:d} customers and {count:d} nodes as processes"
)
def step_customers(context, customers, count):
    step_processes(context, count, "--customers", str(customers))


@when("the emulated platform is terminated")
def step_end(context):
    context.emulator.terminate()
    context.emulator.wait(harness.STOP_LIMIT_S)


def submit(context, steps, *options):
    path = Path(context.folder) / "job.json"
    path.write_text(json.dumps({"text": "a notice", "steps": steps}))
    done = ctl(context, "submit", "notices", str(path), "--json", *options)
    assert done.returncode == 0, done.stderr
    return json.loads(done.stdout)["job"]


@when("an operator submits a job with 2 steps of 3 tasks")
def step_submit(context):
    size = {"tasks": 3, "cores_m": 500, "memory_mb": 100}
    context.job = submit(context, [size, {**size, "after": [0]}])


@when("an operator submits a long-running job")
def step_submit_lasting(context):
    context.job = submit(context, [{"tasks": 1, "cores_m": 500, "lasting": True}])


@then("submitting it again under its id stores nothing new")
def step_again(context):
    assert submit(context, [{"tasks": 9}], "--id", context.job) == context.job
    details = json.loads(ctl(context, "show", context.job, "--json").stdout)
    assert len(details["tasks"]) == 6, details


@then('"{command}" eventually prints "{text}"')
def step_eventually(context, command, text):
    harness.wait_for(lambda: text in ctl(context, *arguments(context, command)).stdout)


@then('"{command}" exits {code:d} printing nothing')
def step_nothing(context, command, code):
    done = ctl(context, *arguments(context, command))
    assert (done.returncode, done.stdout.strip()) == (code, ""), done


@then('"{command}" exits {code:d} printing "{text}"')
def step_prints(context, command, code, text):
    done = ctl(context, *arguments(context, command))
    text = text.replace("ID", getattr(context, "job", "ID"))
    output = done.stdout + done.stderr
    assert done.returncode == code and text in output, (done.returncode, output)


@then("the jobs commands exit 2 naming the missing settings file")
def step_no_settings(context):
    context.boot = Path("/none/boot.yaml")
    done = ctl(context, "list")
    assert done.returncode == 2 and "/none/boot.yaml" in done.stderr, done


@when("an operator submits a job of {customer}")
def step_submit_customer(context, customer):
    context.job = submit(context, [{"tasks": 1}], "--customer", customer)


@then('the command "{command}" exits {code:d} printing "{text}"')
def step_command(context, command, code, text):
    done = ctl(context, *arguments(context, command), group=())
    output = done.stdout + done.stderr
    assert done.returncode == code and text in output, (done.returncode, output)


def keys_of(context):
    keys = configparser.ConfigParser()
    assert keys.read(Path(context.folder) / "keys.ini")
    return [keys[name]["key"] for name in keys.sections()]


@then("only the owner can read the file of keys")
def step_keys_mode(context):
    path = Path(context.folder) / "keys.ini"
    assert path.stat().st_mode & 0o777 == 0o600 and len(keys_of(context)) == 2


@then("no command or log has printed a key")
def step_no_key_printed(context):
    logs = b"".join(path.read_bytes() for path in Path(context.folder).glob("*.log"))
    output = context.printed + logs.decode()
    assert "customer-2" in output
    assert not [key for key in keys_of(context) if key in output]


@then("a caller gets 401 with another key and 200 with a key of the file")
def step_keys_work(context):
    address = yaml.safe_load(context.boot.read_text())["listen"]["front"]
    path = f"/notices/{context.job}"

    def status(key):
        headers = {"Host": "jobs.example", "Authorization": f"Bearer {key}"}
        return harness.http(address, path, headers=headers)[0]

    key = keys_of(context)[1]
    assert (status(key[::-1] + "0"), status(key)) == (401, 200)
