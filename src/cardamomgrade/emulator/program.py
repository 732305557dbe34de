"""Program ``cardamom-emulator``: runs the emulated platform, writes node settings."""

import socket
from pathlib import Path

import click
import yaml

from ..loop import Loop
from .server import EmulatedPlatform, HOST

QUEUE = "notices"
SERVICE = "letters"
CORES_M = 4000
MEMORY_MB = 16_000
VM_ORDERS_PER_S = 64.0
CONFIG = {
    "version": 1,
    "routes": [
        {
            "name": QUEUE,
            "host": "jobs.example",
            "pathPrefix": f"/{QUEUE}/",
            "kind": "unsafe",
            "timeoutMs": 3000,
            "targetLatencyMs": 600,
            "priority": 0,
            "service": SERVICE,
            "maxAttempts": 3,
            "stretch": 1.6,
        }
    ],
    "services": [
        {"name": SERVICE, "enforceLimits": False, "standby": False},
        {"name": "spare", "enforceLimits": False, "standby": True},
    ],
    "limits": {"maxBodyBytes": 262_144},
}
BOUNDS = {
    "maxHoldMs": 10_000,
    "leaseMs": 3000,
    "maintenanceS": 2,
    "stopTimeoutMs": 900,
    "status_s": 120,
    "graceS": 6,
}


def _free_address():
    with socket.socket() as sock:
        sock.bind((HOST, 0))
        return f"{HOST}:{sock.getsockname()[1]}"


def node_settings(number, platform):
    """Return a node's settings as a dict, in the format of the platform's file."""
    return {
        "nodeName": f"n{number}",
        "zone": "z",
        "listen": {"front": _free_address(), "ready": _free_address()},
        "limits": {"cpuShare": 1.0, "cores": 1, "linkMbps": 1000},
        "bounds": BOUNDS,
        "platform": {"address": f"{HOST}:{platform.store_port}"},
        "cloud": {
            "address": f"{HOST}:{platform.vms_port}",
            "dutyPerS": VM_ORDERS_PER_S,
        },
    }


@click.command(help=__doc__)
@click.argument("folder", type=click.Path(file_okay=False))
@click.option("--nodes", default=2, show_default=True, help="Settings files to write.")
@click.option(
    "--executors", default=4, show_default=True, help="Executors in the pool."
)
@click.option("--spare", default=2, show_default=True, help="VMs in the standby pool.")
@click.option("--task-ms", default=300, show_default=True, help="Duration of a task.")
def main(folder, nodes, executors, spare, task_ms):
    """Write n1.yaml and so on to FOLDER, print a ready line, serve until SIGTERM."""
    loop = Loop()
    platform = EmulatedPlatform(loop, lambda task: (task_ms, "done"))
    for number in range(executors + spare):
        pool = SERVICE if number < executors else "spare"
        platform.add_executor(f"i-{number}", pool, CORES_M, MEMORY_MB)
    platform.put("keyed.op", "config", CONFIG)
    directory = Path(folder)
    directory.mkdir(parents=True, exist_ok=True)
    for number in range(1, nodes + 1):
        text = yaml.safe_dump(node_settings(number, platform))
        (directory / f"n{number}.yaml").write_text(text)
    loop.on_stop(loop.finish)
    click.echo(
        f"ready: {nodes} nodes, {executors} executors, store {HOST}:"
        f"{platform.store_port}"
    )
    loop.run()
    platform.close()


if __name__ == "__main__":
    main()
