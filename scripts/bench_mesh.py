"""Measures bytes and processor time of an idle mesh by number of entries.

All entries run on one loop in one process. Prints JSON with least-squares slopes.

Usage: bench_mesh.py [SECONDS]
"""

import json
import socket
import sys
import time

from cardamomgrade.link import Identity
from cardamomgrade.loop import Loop
from cardamomgrade.mesh import Mesh
from cardamomgrade.mesh_hooks import MeshHooks, MeshStatus
from cardamomgrade.net import Net

SIZES = (3, 7, 14)
SECONDS = 10.0
SETTLE_S = 4.0
OFFSET = 100_000
SLOTS = dict.fromkeys((f"vm-{index}" for index in range(40)), 8)


def free_address():
    """Return ``ip:port`` with a port that is free now."""
    with socket.socket() as sock:
        sock.bind(("127.0.0.1", 0))
        return f"127.0.0.1:{sock.getsockname()[1]}"


def run_for(loop, seconds):
    """Run a loop for ``seconds``."""
    loop.call_later(seconds, loop.finish)
    loop.run()


def measure(count, seconds):
    """Return the figures of an idle mesh of ``count`` entries, over ``seconds``."""
    loop = Loop()
    net = Net(loop)
    peers = [(f"entry-{index}", free_address()) for index in range(count)]
    names = [name for name, _ in peers]

    def status():
        return MeshStatus(OFFSET, OFFSET, loop.now())

    meshes = []
    for name, address in peers:
        identity = Identity(name, time.time_ns() // 10**6, "the key of the bench")
        mesh = Mesh(loop, net, identity, peers, MeshHooks(status=status))
        mesh.ledger.configure(SLOTS, names, 0.1)
        mesh.start(address)
        meshes.append(mesh)
    run_for(loop, SETTLE_S)
    links = [link for mesh in meshes for link in mesh.links()]
    sent, cpu = sum(link.bytes_out for link in links), time.process_time()
    run_for(loop, seconds)
    cpu = time.process_time() - cpu
    sent = sum(link.bytes_out for link in links) - sent
    return {
        "entries": count,
        "links": len(links) // 2,
        "bytes_per_second_link_way": round(sent / seconds / len(links), 1),
        "bytes_per_second_entry": round(sent / seconds / count, 1),
        "core_percent_entry": round(100 * cpu / seconds / count, 3),
    }


def slope(rows, field):
    """Return the least-squares slope of a field per entry."""
    mean_x = sum(row["entries"] for row in rows) / len(rows)
    mean_y = sum(row[field] for row in rows) / len(rows)
    sum_xy = sum((row["entries"] - mean_x) * (row[field] - mean_y) for row in rows)
    return round(sum_xy / sum((row["entries"] - mean_x) ** 2 for row in rows), 4)


def main():
    """Print the figures at each size and their slopes per entry."""
    seconds = float(sys.argv[1]) if len(sys.argv) > 1 else SECONDS
    rows = [measure(count, seconds) for count in SIZES]
    slopes = {
        field: slope(rows, field)
        for field in ("bytes_per_second_entry", "core_percent_entry")
    }
    print(json.dumps({"sizes": rows, "slopes_by_entry": slopes}, indent=1))


if __name__ == "__main__":
    main()
