"""Steps that check the mesh against the model of a start during a log outage."""

from behave import given, then, when
from mesh import World

from cardamomgrade.fleet import LEASE_MS
from cardamomgrade.records import MemberJoined

SPONSOR, NEWCOMER = "e0", "e1"
SPONSOR_OFFSET = 10
OUTAGE_AGE_S = 100.0
FREEZE_S = 60.0


def may_send_on_heartbeat(world):
    """Return whether the newcomer may send on its sponsor's heartbeat."""
    member = MemberJoined(SPONSOR, 1, "z", dict(world.addresses)[SPONSOR])
    mesh = world.peers[NEWCOMER].mesh
    return mesh.peer_reports_outage({SPONSOR: member}, LEASE_MS)


def heartbeat_offset(mesh):
    """Return the offset in the last heartbeat of the sponsor, or None without one."""
    last_heartbeat = mesh._sessions[SPONSOR].last_heartbeat
    return last_heartbeat and last_heartbeat.offset


@given("a sponsor without the log and a newcomer that lacks its last records")
def step_sponsor(context):
    world = context.sponsored = World(2, {"x": 8})
    sponsor, newcomer = (world.peers[name] for name in (SPONSOR, NEWCOMER))
    sponsor.proof_s = world.rig.loop.now() - OUTAGE_AGE_S
    sponsor.offset = SPONSOR_OFFSET
    world.rig.run_until(lambda: heartbeat_offset(newcomer.mesh) == SPONSOR_OFFSET)


@when("the newcomer has its sponsor's records")
def step_caught_up(context):
    world = context.sponsored
    world.peers[NEWCOMER].offset = SPONSOR_OFFSET
    world.rig.run_until(lambda: may_send_on_heartbeat(world))


@when("the newcomer's clock jumps forward after a freeze")
def step_freeze(context):
    loop = context.sponsored.rig.loop
    now_s = loop.now() + FREEZE_S
    loop.now = lambda: now_s


@then("the newcomer does not send on its sponsor's heartbeat")
def step_does_not_send(context):
    assert not may_send_on_heartbeat(context.sponsored)
