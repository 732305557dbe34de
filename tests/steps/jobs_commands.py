"""Steps for the commands on jobs; every program runs as a process of its own."""

import json
import os
import subprocess
import sys
import tempfile
from pathlib import Path

import yaml
from behave import given, then, when

import harness

COMMAND_LIMIT_S = 30
FILES = {
    "JOB": {"steps": [{"tasks": 1}]},
    "EMPTY": {},
    "STRANGE": {"steps": [{"tasks": 1, "cores": 3}]},
    "LOOP": {"steps": [{"tasks": 1, "after": [0]}]},
}


def ctl(context, *arguments):
    """Run ``cardamomctl job`` and return the finished process."""
    env = dict(os.environ, PYTHONPATH=str(harness.ROOT / "src"))
    env["CARDAMOMGRADE_BOOT"] = str(context.boot)
    return subprocess.run(
        [sys.executable, "-m", "cardamomgrade.ctl", "job", *arguments],
        env=env,
        capture_output=True,
        text=True,
        timeout=COMMAND_LIMIT_S,
    )


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
def step_processes(context, count):
    context.folder = tempfile.mkdtemp()
    context.boot = Path(context.folder) / "n1.yaml"
    context.emulator = harness.start(
        "emulator.program", context.folder, "--nodes", str(max(1, count))
    )
    harness.wait_for(context.boot.exists)
    harness.wait_for(lambda: yaml.safe_load(context.boot.read_text()))
    for number in range(1, count + 1):
        path = Path(context.folder) / f"n{number}.yaml"
        harness.wait_for(path.exists)
        harness.start("jobsd", env={"CARDAMOMGRADE_BOOT": str(path)})


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
