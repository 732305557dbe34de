"""Which VMs a batch takes, how many of them, and how many batches may be open."""

CYCLE_RECORDS_MAX = 2400
BATCH_RECORDS = 4


def open_batches_max(members):
    """Return how many batches may be open, so that their records stay bounded.

    A batch takes one record of each member for notice and drain each, besides its own.
    """
    return max(1, CYCLE_RECORDS_MAX // (BATCH_RECORDS + 2 * members))


def order_vms(bundle, wave, names):
    """Return the VMs of the wave's first zone, those of the fullest rack first."""
    order = bundle.waves[wave].zones if wave in bundle.waves else ()
    place = {zone: index for index, zone in enumerate(order)}
    zones = {}
    for name in names:
        zones.setdefault(bundle.vms[name].zone, []).append(name)
    first = min(zones, key=lambda zone: (place.get(zone, len(place)), zone))
    racks = {}
    for name in zones[first]:
        racks.setdefault(bundle.vms[name].rack, []).append(name)
    fullest = sorted(racks, key=lambda rack: (-len(racks[rack]), rack))
    return [name for rack in fullest for name in sorted(racks[rack])]


def batch_size(due, most, weight_rollout, weight_buffer):
    """Return how many of ``due`` VMs to take at once, 1 to ``most``.

    The least cost wins: the steps needed, weighted for roll-out time, plus the VMs
    out at once, weighted for buffer.
    """

    def cost(size):
        steps = -(-due // size)
        return weight_rollout * steps + weight_buffer * size

    return min(range(1, min(due, most) + 1), key=cost)
