"""Runs behave on every feature file, several in parallel, and prints the totals.

A failing scenario that KNOWN-RED.txt lists is printed but not counted as failed. Any
other failing scenario fails the whole run, and so does a run of behave that exits with
an error although every scenario in its report passed, or that writes no report.

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
TEST_FIELD_PREFIX = "test:"
MAX_PARALLEL_RUNS = 5
FEATURE_TIMEOUT_S = 1200
SLOWEST_SHOWN = 5


@attrs.frozen
class FeatureRun:
    """Result of one run of behave.

    ``status`` is the exit status; ``results`` has a (scenario, status) pair each.
    """

    feature: str
    status: int
    seconds: float
    output: str
    results: list


def known_red():
    """Return the set of scenarios in KNOWN-RED.txt, each ``feature: scenario``."""
    lines = KNOWN_RED.read_text().splitlines() if KNOWN_RED.exists() else []
    return {
        line.split(TEST_FIELD_PREFIX, 1)[1].strip()
        for line in lines
        if line.startswith(TEST_FIELD_PREFIX)
    }


def scenarios(report):
    """Yield (``feature: scenario``, status) for each scenario of a JSON report."""
    for feature in report:
        for element in feature.get("elements", []):
            if element["type"] != "background":
                # Names of examples of an outline end with a space.
                name = f"{feature['name']}: {element['name']}".strip()
                yield name, element["status"]


def run_feature(path, arguments):
    """Run behave on one feature file and return its FeatureRun."""
    started_s = time.monotonic()
    with tempfile.TemporaryDirectory() as folder:
        report = Path(folder) / "report.json"
        process = subprocess.run(
            [sys.executable, "-m", "behave", str(path), *arguments]
            + ["--format=plain", "--format=json", "--outfile=/dev/stdout"]
            + [f"--outfile={report}", "--no-skipped", "--no-color"],
            cwd=ROOT,
            stdout=subprocess.PIPE,
            stderr=subprocess.STDOUT,
            text=True,
            timeout=FEATURE_TIMEOUT_S,
        )
        text = report.read_text() if report.exists() else ""
    results = list(scenarios(json.loads(text))) if text.strip() else []
    seconds = time.monotonic() - started_s
    return FeatureRun(path.stem, process.returncode, seconds, process.stdout, results)


def run_all(folder, arguments):
    """Run every feature below a folder; return the FeatureRuns in order of path."""
    paths = sorted(Path(folder).glob("**/*.feature"))
    with ThreadPoolExecutor(MAX_PARALLEL_RUNS) as pool:
        return list(pool.map(lambda path: run_feature(path, arguments), paths))


def print_run(run):
    """Print a line for a feature, and the whole output of behave if it failed."""
    passed = sum(status == "passed" for _, status in run.results)
    print(f"{run.feature}: {passed} of {len(run.results)} in {run.seconds:.0f} s")
    if run.status:
        print(run.output)


def main():
    """Run the features, print the totals and return the exit status."""
    runs = run_all(sys.argv[1], sys.argv[2:])
    for run in runs:
        print_run(run)
    results = [result for run in runs for result in run.results]
    known = known_red()
    passed = [name for name, result in results if result == "passed"]
    not_passed = [
        name for name, result in results if result not in ("passed", "skipped")
    ]
    failed = [name for name in not_passed if name not in known]
    for name in not_passed:
        print(f"{'failed' if name in failed else 'known red'}: {name}")
    unexplained = sum(
        run.status != 0 and all(status == "passed" for _, status in run.results)
        for run in runs
    )
    slowest = sorted(runs, key=lambda run: -run.seconds)[:SLOWEST_SHOWN]
    print(
        "slowest:", ", ".join(f"{run.feature} {run.seconds:.0f} s" for run in slowest)
    )
    print(f"{len(passed)} passed, {len(failed) + unexplained} failed")
    return 1 if failed or unexplained or not passed else 0


if __name__ == "__main__":
    sys.exit(main())
