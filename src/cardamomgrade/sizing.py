"""Chooses the VMs and the size of a batch, and limits the number of open batches."""

OPEN_BATCHES_RECORDS_MAX = 2400
OWN_RECORDS_PER_BATCH = 4


def open_batches_max(members):
    """Return how many batches may be open at once with this number of members.

    This bounds the log records of the open batches to OPEN_BATCHES_RECORDS_MAX. Each
    member appends two records for a batch, BatchAcked and DrainConfirmed, besides
    the OWN_RECORDS_PER_BATCH of the batch itself. At least one batch may be open.
    """
    return max(1, OPEN_BATCHES_RECORDS_MAX // (OWN_RECORDS_PER_BATCH + 2 * members))


def order_vms(bundle, wave, names):
    """Return those of ``names`` that are in one zone, rack by rack.

    The zone is the first of the wave's zones with any of them, or the first by name
    if they are in none of the wave's zones. The rack with most of them comes first.
    """
    zone_order = bundle.waves[wave].zones if wave in bundle.waves else ()
    position = {zone: index for index, zone in enumerate(zone_order)}
    zones = {}
    for name in names:
        zones.setdefault(bundle.vms[name].zone, []).append(name)
    first = min(zones, key=lambda zone: (position.get(zone, len(position)), zone))
    racks = {}
    for name in zones[first]:
        racks.setdefault(bundle.vms[name].rack, []).append(name)
    fullest = sorted(racks, key=lambda rack: (-len(racks[rack]), rack))
    return [name for rack in fullest for name in sorted(racks[rack])]


def batch_size(due, size_max, weight_rollout, weight_buffer):
    """Return how many of ``due`` VMs to take out at once, from 1 to ``size_max``.

    It minimises ``weight_rollout`` times the number of batches, which stands for the
    duration, plus ``weight_buffer`` times the VMs out at once, which stands for the
    spare capacity needed.
    """

    def cost(size):
        batches = -(-due // size)
        return weight_rollout * batches + weight_buffer * size

    return min(range(1, min(due, size_max) + 1), key=cost)
