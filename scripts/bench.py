"""Runs the benches and writes out/bench/report.json and a plot.

Usage: bench.py [NAME ...]; without names all run, one after the other.
"""

import json
import platform
import subprocess
import sys
import time
from pathlib import Path

import matplotlib

matplotlib.use("Agg")
from matplotlib import pyplot  # noqa: E402

ROOT = Path(__file__).resolve().parent.parent
OUT = ROOT / "out" / "bench"
COMMANDS = {
    "process": ["bench_process.py"],
    "fleet_size": ["bench_fleet.py", "size"],
    "waves": ["bench_fleet.py", "waves"],
    "slots": ["bench_slots.py"],
    "mesh": ["bench_mesh.py"],
    "placement": ["bench_placement.py"],
}


def fit(points):
    """Return (slope, intercept, largest relative error) of the least-squares line."""
    count = len(points)
    mean_x = sum(x for x, _ in points) / count
    mean_y = sum(y for _, y in points) / count
    sum_xx = sum((x - mean_x) ** 2 for x, _ in points)
    slope = sum((x - mean_x) * (y - mean_y) for x, y in points) / sum_xx
    intercept = mean_y - slope * mean_x
    error = max(abs(intercept + slope * x - y) / abs(y) for x, y in points if y)
    return slope, intercept, error


def fits(sizes):
    """Return least-squares lines of bench_process figures over the number of VMs."""
    rows = {}
    for program in ("entry", "control"):
        for field in ("resident_mb", "peak_mb", "ms_per_change", "rest_core_share"):
            points = [(row["vms"], row[field][program]) for row in sizes]
            slope, intercept, error = fit(points)
            rows[f"{program}.{field}"] = {
                "per_1000_vms": round(1000 * slope, 5),
                "at_0": round(intercept, 4),
                "largest_relative_error": round(error, 3),
            }
    return rows


def plot_sizes(sizes):
    """Write a plot of peak memory over VMs with the bound of a control, 32 MB."""
    figure, axes = pyplot.subplots(figsize=(6, 4))
    vms = [row["vms"] for row in sizes]
    for program in ("entry", "control"):
        axes.plot(vms, [row["peak_mb"][program] for row in sizes], "o-", label=program)
    axes.axhline(32, linestyle="--", color="grey", label="32 MB, bound of control")
    axes.set_xlabel("VMs")
    axes.set_ylabel("peak resident MB")
    axes.legend()
    figure.savefig(OUT / "memory.png")


def run(name):
    """Run one bench; return (parsed JSON, duration in seconds)."""
    started_s = time.monotonic()
    process = subprocess.run(
        [sys.executable, str(ROOT / "scripts" / COMMANDS[name][0])]
        + COMMANDS[name][1:],
        cwd=ROOT,
        stdout=subprocess.PIPE,
        text=True,
        check=True,
    )
    return json.loads(process.stdout), round(time.monotonic() - started_s, 1)


def main():
    """Run the named benches and update the report."""
    OUT.mkdir(parents=True, exist_ok=True)
    path = OUT / "report.json"
    report = json.loads(path.read_text()) if path.exists() else {}
    report["machine"] = {"python": platform.python_version()}
    for name in sys.argv[1:] or COMMANDS:
        report[name], seconds = run(name)
        print(f"{name}: {seconds} s", flush=True)
    if "process" in report:
        report["fits"] = fits(report["process"]["sizes"])
        plot_sizes(report["process"]["sizes"])
    path.write_text(json.dumps(report, indent=1) + "\n")
    print(f"report: {path.relative_to(ROOT)}")
    return 0


if __name__ == "__main__":
    sys.exit(main())
