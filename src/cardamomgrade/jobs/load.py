"""Logs the pools, and publishes how long each service takes for the work that waits.

Entries turn jobs away by this (see ``admission``). Nothing is stored while no work
waits.
"""

import time

from ..journal import event, log_event
from .records import encode, KEY_LOAD, KEY_SHARE_LOAD, LoadRecord, ShareLoadRecord

PUBLISH_INTERVAL_S = 0.4  # well within the age at which entries ignore the record
POOL_LOG_S = 1.0
SHARE_WAIT_MIN_MS = 500  # shorter ones never turn a job away
MS = 1000


@event(618)
class PoolsSized:
    """The VMs of all pools, and the moves that are under way.

    ``pools`` has a row of service, VMs it needs, VMs it has, VMs without runs, and the
    cores that its waiting tasks need, that its runs use, and that arriving work uses.
    """

    pools: list
    moves: int


@event(625)
class LoadPublished:
    """The expected waits in ms by service changed from or to none at all."""

    waits: dict


def expected_wait_ms(load, vms):
    """Return in how many ms ``vms`` VMs finish the waiting work of a PoolLoad."""
    cores_m = vms * load.usable_vm_cores_m - load.lasting_cores_m
    return load.backlog_core_ms * MS / max(cores_m, load.usable_vm_cores_m, 1)


class LoadPublisher:
    """Logs PoolsSized and stores a LoadRecord with a Writer at regular intervals."""

    def __init__(self, writer):
        self._writer = writer
        self._logged_at = self._published_at = float("-inf")
        self._waits = {}
        self._share_waits = {}

    def log_pools(self, loads, moves, now):
        """Log PoolLoads by service, if that is due, and how many ``moves`` go on."""
        if now - self._logged_at < POOL_LOG_S:
            return
        self._logged_at = now
        rows = [
            [
                item.service,
                item.needed_vms,
                item.size,
                len(item.idle),
                item.waiting_cores_m // 1000,
                item.allocated_cores_m // 1000,
                int(item.arriving_cores_m) // 1000,
            ]
            for item in loads.values()
            if not item.standby
        ]
        log_event(PoolsSized(rows, moves))

    def publish(self, loads, shares, now, share_waits_ms=None):
        """Store the waits of PoolLoads by service, if that is due.

        ``shares`` maps a service to the VMs that it may have; its pool may not have all
        of them yet. ``share_waits_ms`` maps (service, customer) to a wait, or is None
        where customers have no shares.
        """
        if now - self._published_at < PUBLISH_INTERVAL_S:
            return
        self._published_at = now
        vms = {
            name: max(load.size, shares.get(name, 0)) for name, load in loads.items()
        }
        waits = {
            name: int(expected_wait_ms(load, vms[name]))
            for name, load in loads.items()
            if not load.standby and load.backlog_core_ms
        }
        if bool(waits) != bool(self._waits):
            log_event(LoadPublished(waits))
        if waits or self._waits:
            self._store(KEY_LOAD, LoadRecord, waits.items())
        self._waits = waits
        if share_waits_ms is None:
            return
        share_waits = {
            names: wait_ms
            for names, wait_ms in share_waits_ms.items()
            if wait_ms >= SHARE_WAIT_MIN_MS
        }
        if share_waits or self._share_waits:
            rows = ((*names, int(wait_ms)) for names, wait_ms in share_waits.items())
            self._store(KEY_SHARE_LOAD, ShareLoadRecord, rows)
        self._share_waits = share_waits

    def _store(self, key, cls, rows):
        record = cls(int(time.time() * MS), tuple(rows))
        self._writer.store([(key, encode(record))])
