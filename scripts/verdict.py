"""Runs behave once and prints the closing count of scenarios.

A failing scenario named in KNOWN-RED.txt is printed and not counted as failed;
any other failing scenario, or an undefined step, fails the run.

Usage: verdict.py DIRECTORY [behave arguments]
"""

import json
import subprocess
import sys
import tempfile
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent
KNOWN_RED = ROOT / "KNOWN-RED.txt"
TEST_FIELD = "test:"


def known_red():
    """Return the scenario names that KNOWN-RED.txt lists."""
    lines = KNOWN_RED.read_text().splitlines() if KNOWN_RED.exists() else []
    return {
        line.split(TEST_FIELD, 1)[1].strip()
        for line in lines
        if line.startswith(TEST_FIELD)
    }


def scenarios(report):
    """Yield (name, status) for each scenario in a behave JSON report."""
    for feature in report:
        for element in feature.get("elements", []):
            if element["type"] != "background":
                yield f"{feature['name']}: {element['name']}", element["status"]


def main():
    """Run behave and return the process exit status."""
    with tempfile.TemporaryDirectory() as folder:
        path = Path(folder) / "report.json"
        status = subprocess.call(
            [sys.executable, "-m", "behave", *sys.argv[1:]]
            + ["--format=progress", "--format=json", "--outfile=/dev/stdout"]
            + [f"--outfile={path}", "--no-skipped"],
            cwd=ROOT,
        )
        text = path.read_text() if path.exists() else ""
    report = json.loads(text) if text else []
    results = list(scenarios(report))
    listed = known_red()
    passed = [name for name, result in results if result == "passed"]
    red = [name for name, result in results if result not in ("passed", "skipped")]
    known = [name for name in red if name in listed]
    failed = [name for name in red if name not in listed]
    for name in known:
        print(f"known red: {name}")
    for name in failed:
        print(f"failed: {name}")
    broken = status != 0 and not red
    print(f"{len(passed)} passed, {len(failed) + broken} failed")
    return 1 if failed or broken or not passed else 0


if __name__ == "__main__":
    sys.exit(main())
