"""Runs behave on each feature file, several at once, and prints the closing count.

A failing scenario named in KNOWN-RED.txt is printed and not counted as failed;
any other failing scenario, or a run that ends without a report, fails the run.

Usage: verdict.py DIRECTORY [behave arguments]
"""

import json
import subprocess
import sys
import tempfile
import time
from concurrent.futures import ThreadPoolExecutor
from pathlib import Path

import attrs

ROOT = Path(__file__).resolve().parent.parent
KNOWN_RED = ROOT / "KNOWN-RED.txt"
TEST_FIELD = "test:"
RUNS_AT_ONCE = 5
FEATURE_LIMIT_S = 1200
SLOWEST_SHOWN = 5


@attrs.frozen
class FeatureRun:
    """What one run of behave gave; results are (scenario, status) pairs."""

    feature: str
    status: int
    seconds: float
    output: str
    results: list


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


def run_feature(path, arguments):
    """Run behave on one feature file and return its FeatureRun."""
    started = time.monotonic()
    with tempfile.TemporaryDirectory() as folder:
        report = Path(folder) / "report.json"
        done = subprocess.run(
            [sys.executable, "-m", "behave", str(path), *arguments]
            + ["--format=plain", "--format=json", "--outfile=/dev/stdout"]
            + [f"--outfile={report}", "--no-skipped", "--no-color"],
            cwd=ROOT,
            stdout=subprocess.PIPE,
            stderr=subprocess.STDOUT,
            text=True,
            timeout=FEATURE_LIMIT_S,
        )
        text = report.read_text() if report.exists() else ""
    results = list(scenarios(json.loads(text))) if text.strip() else []
    seconds = time.monotonic() - started
    return FeatureRun(path.stem, done.returncode, seconds, done.stdout, results)


def run_all(folder, arguments):
    """Run every feature below a folder and return the FeatureRuns by name."""
    paths = sorted(Path(folder).glob("**/*.feature"))
    with ThreadPoolExecutor(RUNS_AT_ONCE) as pool:
        return list(pool.map(lambda path: run_feature(path, arguments), paths))


def print_run(run):
    """Print a line for a feature, and the whole output of one that failed."""
    passed = sum(status == "passed" for _, status in run.results)
    print(f"{run.feature}: {passed} of {len(run.results)} in {run.seconds:.0f} s")
    if run.status:
        print(run.output)


def main():
    """Run behave and return the process exit status."""
    runs = run_all(sys.argv[1], sys.argv[2:])
    for run in runs:
        print_run(run)
    results = [result for run in runs for result in run.results]
    listed = known_red()
    passed = [name for name, result in results if result == "passed"]
    red = [name for name, result in results if result not in ("passed", "skipped")]
    failed = [name for name in red if name not in listed]
    for name in red:
        print(f"{'failed' if name in failed else 'known red'}: {name}")
    broken = sum(
        run.status != 0 and all(status == "passed" for _, status in run.results)
        for run in runs
    )
    slowest = sorted(runs, key=lambda run: -run.seconds)[:SLOWEST_SHOWN]
    print(
        "slowest:", ", ".join(f"{run.feature} {run.seconds:.0f} s" for run in slowest)
    )
    print(f"{len(passed)} passed, {len(failed) + broken} failed")
    return 1 if failed or broken or not passed else 0


if __name__ == "__main__":
    sys.exit(main())
