"""Program ``cardamom-emulator``: runs the emulated platform, writes node settings."""

import configparser
import os
import secrets
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
KEY_BYTES = 16
WEIGHT = 5  # jobs a second
KEYS_FILE = "keys.ini"
KEYS_MODE = 0o600
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


def customer_fields(count, cores_m):
    """Return the records of ``count`` customers with one key each.

    ``cores_m`` is each customer's limit in thousandths of a core.
    """
    return [
        {
            "name": f"customer-{number}",
            "apiKeys": [secrets.token_hex(KEY_BYTES)],
            "weight": WEIGHT,
            "maxCount": {"cpu": cores_m, "memMb": 0, "gpu": 0},
        }
        for number in range(1, count + 1)
    ]


def _write_keys(path, customers):
    """Write the keys to a file that only its owner can read."""
    keys = configparser.ConfigParser(interpolation=None)
    keys.read_dict({item["name"]: {"key": item["apiKeys"][0]} for item in customers})
    path.unlink(missing_ok=True)  # an existing file would keep its mode
    fd = os.open(path, os.O_WRONLY | os.O_CREAT | os.O_EXCL, KEYS_MODE)
    with os.fdopen(fd, "w") as file:
        keys.write(file)


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
        "limits": {
            "cpuShare": 1.0,
            "cores": 1,
            "linkMbps": 1000,
            "maxFds": 4100,
            "memoryMb": 300,
        },
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
@click.option(
    "--customers", default=0, show_default=True, help=f"Customers; keys in {KEYS_FILE}."
)
def main(folder, nodes, executors, spare, task_ms, customers):
    """Write n1.yaml and so on to FOLDER, print a ready line, serve until SIGTERM."""
    loop = Loop()
    platform = EmulatedPlatform(loop, lambda task: (task_ms, "done"))
    for number in range(executors + spare):
        pool = SERVICE if number < executors else "spare"
        platform.add_executor(f"i-{number}", pool, CORES_M, MEMORY_MB)
    directory = Path(folder)
    directory.mkdir(parents=True, exist_ok=True)
    config = CONFIG
    if customers:
        # Half of the pool each, so that two customers can fill it.
        fields = customer_fields(customers, max(CORES_M, executors * CORES_M // 2))
        config = {**CONFIG, "tenants": fields}
        _write_keys(directory / KEYS_FILE, fields)
    platform.put("keyed.op", "config", config)
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
