"""Steps that hold the mesh to the specification of a start during an outage."""

from behave import given, then, when
from mesh import World

from cardamomgrade.fleet import LEASE_MS
from cardamomgrade.records import MemberJoined

SPONSOR, NEWCOMER = "e0", "e1"
SPONSOR_OFFSET = 10
STALE_S = 100.0
FREEZE_S = 60.0


def sponsor_reports_outage(world):
    """Return whether the newcomer may send, as its sponsor reports an outage."""
    member = MemberJoined(SPONSOR, 1, "z", dict(world.addresses)[SPONSOR])
    mesh = world.peers[NEWCOMER].mesh
    return mesh.peer_reports_outage({SPONSOR: member}, LEASE_MS)


def reported_offset(mesh):
    """Return the offset in the sponsor's last heartbeat, or None."""
    heartbeat = mesh._sessions[SPONSOR].last_heartbeat
    return heartbeat and heartbeat.offset


@given("a sponsor without the log and a newcomer that lacks its last records")
def step_sponsor(context):
    world = context.sponsored = World(2, {"x": 8})
    sponsor, newcomer = (world.peers[name] for name in (SPONSOR, NEWCOMER))
    sponsor.proof_s = world.rig.loop.now() - STALE_S
    sponsor.offset = SPONSOR_OFFSET
    world.rig.run_until(lambda: reported_offset(newcomer.mesh) == SPONSOR_OFFSET)


@when("the newcomer has its sponsor's records")
def step_caught_up(context):
    world = context.sponsored
    world.peers[NEWCOMER].offset = SPONSOR_OFFSET
    world.rig.run_until(lambda: sponsor_reports_outage(world))


@when("the newcomer wakes after a freeze")
def step_freeze(context):
    loop = context.sponsored.rig.loop
    woken = loop.now() + FREEZE_S
    loop.now = lambda: woken


@then("the newcomer does not send on its sponsor's word")
def step_mistrusts(context):
    assert not sponsor_reports_outage(context.sponsored)
