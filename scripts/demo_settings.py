"""Writes the settings of a demo run, derived from examples/agence.

Usage: demo_settings.py FOLDER. All endpoints of a zone run in one process. The second
bundle starts a wave on two pools by raising the wave's round.
"""

import configparser
import sys
from pathlib import Path

EXAMPLES = Path(__file__).resolve().parent.parent / "examples" / "agence"
WAVE = "wave monthly"
WAVE_POOLS = "fines, formal-notices"


def read(path):
    """Return a ConfigParser of an INI file; names keep their case."""
    parser = configparser.ConfigParser(interpolation=None)
    parser.optionxform = str
    parser.read_string(path.read_text())
    return parser


def write(path, parser):
    """Write a ConfigParser to a file."""
    with path.open("w") as file:
        parser.write(file)


def split_endpoints(folder):
    """Write the platform's settings, the endpoints by zone and their addresses."""
    standin = read(EXAMPLES / "standin.ini")
    zones = {}
    for name, text in standin["vms"].items():
        kind, zone, _, address = text.split()
        if kind == "endpoint":
            zones.setdefault(zone, {})[name] = address
    standin.remove_section("endpoints")
    write(folder / "platform.ini", standin)
    for zone, endpoints in zones.items():
        parser = read(EXAMPLES / "standin.ini")
        parser.clear()
        parser["endpoints"] = endpoints
        write(folder / f"zone-{zone}.ini", parser)
    addresses = [item for endpoints in zones.values() for item in endpoints.values()]
    (folder / "endpoints.txt").write_text("\n".join(addresses) + "\n")


def next_bundle(folder):
    """Write the first bundle and the second one, which starts a small wave."""
    bundle = read(EXAMPLES / "bundle.ini")
    (folder / "bundle-1.ini").write_text((EXAMPLES / "bundle.ini").read_text())
    bundle["bundle"]["version"] = "2"
    bundle[WAVE]["round"] = str(int(bundle[WAVE]["round"]) + 1)
    bundle[WAVE]["pools"] = WAVE_POOLS
    write(folder / "bundle-2.ini", bundle)


def main():
    """Write every file of the demo."""
    folder = Path(sys.argv[1])
    folder.mkdir(parents=True, exist_ok=True)
    split_endpoints(folder)
    next_bundle(folder)
    return 0


if __name__ == "__main__":
    sys.exit(main())
