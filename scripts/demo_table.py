"""Prints the table of a demo run; exits with 1 on a late roll-out or unfinished wave.

Usage: demo_table.py FOLDER, with the files that demo.sh wrote there.
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
    """Return the ms from each roll until it is in force, for each node and bundle.

    Only some events have ``delay_ms``; it gives the time of the roll in the log.
    """
    events = []
    for path in folder.glob("*.log"):
        lines = path.read_text().splitlines()
        events += [json.loads(line) for line in lines if IN_FORCE_EVENT in line]
    roll_time_ms = {
        event["offset"]: event["time"] * 1000 - event["delay_ms"]
        for event in events
        if "delay_ms" in event
    }
    return [
        round(event["time"] * 1000 - roll_time_ms[event["offset"]]) for event in events
    ]


def spare_vms(folder):
    """Return the number of VMs beyond the sum of the services' ``min_serving``."""
    bundle = configparser.ConfigParser(interpolation=None)
    bundle.read_string((folder / "bundle-2.ini").read_text())
    names = bundle.sections()
    vms = sum(name.startswith("vm ") for name in names)
    required = sum(
        bundle.getint(name, "min_serving")
        for name in names
        if name.startswith("service ")
    )
    return vms - required


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
