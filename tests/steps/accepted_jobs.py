"""Steps for the script that finds lost jobs in logs."""

import json
import sys
from pathlib import Path

from behave import given, then
from click.testing import CliRunner

from harness import ROOT

NOISE = ["built in 0.1 s", "  12.5 n1 {not JSON", ""]


def run_script(text):
    """Run the script on a log; return its click Result."""
    sys.path.insert(0, str(ROOT / "scripts"))
    import accepted_jobs

    runner = CliRunner()
    with runner.isolated_filesystem():
        Path("nodes.log").write_text(text)
        return runner.invoke(accepted_jobs.main, ["nodes.log"])


@given("logs with these events")
def step_logs(context):
    lines = list(NOISE)
    for row in context.table:
        fields = {name: row[name] for name in ("node", "job", "call", "answer")}
        fields |= {"time": float(row["time"]), "event_name": row["event"]}
        lines.append(f"{row['time']} {row['node']} {json.dumps(fields)}")
    context.log_text = "\n".join(lines)


@then("the script finds")
def step_finds(context):
    expected = [context.table.headings[0], *(row[0] for row in context.table)]
    result = run_script(context.log_text)
    assert result.output.splitlines()[:-1] == expected, result.output
    assert result.exit_code == 1, result


@then("the script finds nothing")
def step_finds_nothing(context):
    result = run_script(context.log_text)
    assert len(result.output.splitlines()) == 1 and result.exit_code == 0, result.output
