"""Steps for the mesh and link modules, with several entries on one event loop."""

import time

import attrs
from behave import given, then, when

import harness
from cardamomgrade.fleet import LEASE_MS, Member
from cardamomgrade.link import Identity, Link
from cardamomgrade.mesh import Mesh, PEER_REPORT_LIFETIME_S
from cardamomgrade.mesh_hooks import MeshHooks, MeshStatus
from cardamomgrade.messages import Query
from cardamomgrade.net import parse_address
from cardamomgrade.records import BatchAcked, STREAM_FLEET

KEY = "a shared key of the tests"
DEADLINE_S = 0.2
PROOF_AGE_S = 1.0


@attrs.define(eq=False)
class MeshPeer:
    """An entry reduced to its mesh; records the mesh's callbacks."""

    mesh: Mesh = None
    offset: int = 0
    proof_s: float | None = None
    appended: list = attrs.field(factory=list)
    fresh: list = attrs.field(factory=list)
    missing: list = attrs.field(factory=list)
    superseded: list = attrs.field(factory=list)

    def status(self):
        return MeshStatus(self.offset, 0, self.proof_s)

    def receive_records(self, stream, raw):
        for offset, _, _ in raw:
            if offset == self.offset:
                self.offset += 1
        self.mesh.catchup.store(raw)


class World:
    """Peers on one event loop, each configured with the addresses of all."""

    def __init__(self, count, slots):
        self.rig = harness.Rig()
        self.names = [f"e{index}" for index in range(count)]
        self.addresses = [(name, harness.free_address()) for name in self.names]
        self.slots = slots
        self.peers = {}
        for name in self.names:
            self.start(name, 1)
        self.rig.run_until(self.all_connected)

    def start(self, name, incarnation, address=None):
        peer = MeshPeer()
        hooks = MeshHooks(
            status=peer.status,
            on_raw=peer.receive_records,
            on_fresh=peer.fresh.append,
            append=lambda stream, record: peer.appended.append(record),
            on_missing=lambda stream, earliest: peer.missing.append(earliest),
            on_superseded=peer.superseded.append,
        )
        me = Identity(name, incarnation, KEY)
        peer.mesh = Mesh(self.rig.loop, self.rig.net, me, self.addresses, hooks)
        peer.mesh.ledger.configure(self.slots, self.names, DEADLINE_S)
        peer.mesh.start(address or dict(self.addresses)[name])
        self.peers[name] = peer
        return peer

    def all_connected(self):
        found = [len(peer.mesh.alive()) for peer in self.peers.values()]
        return found == [len(self.names) - 1] * len(self.names)

    def dial(self, name, identity, expected, tamper=lambda link: None):
        """Return a link to a peer and a list that gets the reason when it fails.

        ``tamper(link)`` changes the link before its handshake.
        """
        reasons, links = [], []

        def opened(conn):
            link = Link(self.rig.loop, conn, identity, expected)
            link.on_down = lambda link, reason: reasons.append(reason)
            tamper(link)
            links.append(link)

        host, port = parse_address(dict(self.addresses)[name])
        self.rig.net.dial(host, port, opened, reasons.append)
        self.rig.run_until(lambda: links)
        return links[0], reasons


@given("a mesh of {count:d} entries over endpoint x with {slots:d} slots")
def step_mesh(context, count, slots):
    context.mesh_world = World(count, {"x": slots})


@when("the mesh entry e0 lacks 8 slots")
def step_want(context):
    world = context.mesh_world
    world.rig.run_until(lambda: all(p.mesh.ledger.unlocked for p in peers(world)))
    world.peers["e0"].mesh.ledger.want(("x",), 8)


def peers(world):
    return world.peers.values()


@then("the mesh entry e0 can take all 8 slots")
def step_take(context):
    ledger = context.mesh_world.peers["e0"].mesh.ledger

    def full():
        ledger.take("x")
        return ledger.in_use("x") == 8

    context.mesh_world.rig.run_until(full)


@then("a peer with a different key is refused")
def step_other_key(context):
    identity = Identity("e0", 9, "another key")
    _, reasons = context.mesh_world.dial("e1", identity, "e1")
    context.mesh_world.rig.run_until(lambda: reasons)
    assert context.mesh_world.peers["e1"].mesh._members.incarnation("e0") == 1


@then("a peer that is not in the settings is refused")
def step_unknown_peer(context):
    _, reasons = context.mesh_world.dial("e1", Identity("e9", 9, KEY), "e1")
    context.mesh_world.rig.run_until(lambda: reasons)
    assert context.mesh_world.peers["e1"].mesh.alive() == ["e0"]


def raw_conn(world, name):
    """Return a connection to a peer and a list that gets an item at its close."""
    closed, conns = [], []

    def opened(conn):
        conn.on_close = lambda: closed.append(True)
        conns.append(conn)

    world.rig.net.dial(
        *parse_address(dict(world.addresses)[name]), opened, closed.append
    )
    world.rig.run_until(lambda: conns)
    return conns[0], closed


@then("bytes that are not a websocket handshake are refused")
def step_no_websocket(context):
    conn, closed = raw_conn(context.mesh_world, "e1")
    conn.write(b"GET / HTTP/1.1\r\nHost: x\r\n\r\n")
    context.mesh_world.rig.run_until(lambda: closed)


@then("a message before authentication is refused")
def step_message_before_auth(context):
    def tamper(link):
        link._on_hello = lambda hello: link.send(Query())

    identity = Identity("e0", 9, KEY)
    _, reasons = context.mesh_world.dial("e1", identity, "e1", tamper)
    context.mesh_world.rig.run_until(lambda: reasons)


@then("a peer that sends nothing during the handshake is dropped")
def step_silent(context):
    conn, closed = raw_conn(context.mesh_world, "e1")
    context.mesh_world.rig.run_until(lambda: closed)
    assert context.mesh_world.all_connected()


@when("a newer incarnation of mesh entry e0 starts beside the old one")
def step_start_successor(context):
    world = context.mesh_world
    world.rig.run_until(lambda: all(p.mesh.ledger.unlocked for p in peers(world)))
    context.old_peer = world.peers["e0"]
    world.start("e0", 2, harness.free_address())


@then("the old mesh entry e0 is superseded and has no slots")
def step_superseded(context):
    old = context.old_peer
    context.mesh_world.rig.run_until(lambda: old.superseded)
    assert old.superseded[0] == 2
    assert old.mesh.ledger.available("x") == 0


@then("the peers have links to the newer incarnation only")
def step_newer(context):
    world = context.mesh_world
    world.rig.run_until(world.all_connected)
    world.rig.run_for(1.5)
    for name in ("e1", "e2"):
        links = world.peers[name].mesh.links()
        assert {link.incarnation for link in links if link.peer == "e0"} == {2}


@when("mesh entry {name} reads {count:d} records of the log")
def step_read(context, name, count):
    peer = context.mesh_world.peers[name]
    raw = [[offset, offset, b"record %d" % offset] for offset in range(count)]
    peer.receive_records(STREAM_FLEET, raw)
    peer.proof_s = context.mesh_world.rig.loop.now() - PROOF_AGE_S
    context.proof_s = peer.proof_s


@when("mesh entry e0 is replaced")
def step_replaced(context):
    world = context.mesh_world
    world.peers["e0"].mesh.close()
    world.start("e0", 2, harness.free_address())


@then("mesh entry e0 holds the {count:d} records")
def step_holds(context, count):
    peer = context.mesh_world.peers["e0"]
    context.mesh_world.rig.run_until(lambda: peer.offset == count)


@then("mesh entry e0 has a proof as recent as that of e2 and none more recent")
def step_fresh(context):
    world, peer = context.mesh_world, context.mesh_world.peers["e0"]
    world.rig.run_until(lambda: peer.fresh)
    world.rig.run_for(2.5)
    assert all(proof_s <= context.proof_s for proof_s in peer.fresh)
    assert max(peer.fresh) > context.proof_s - 2.5


@then("mesh entry e0 is notified that records before {offset:d} are not kept")
def step_not_kept(context, offset):
    peer = context.mesh_world.peers["e0"]
    context.mesh_world.rig.run_until(lambda: peer.missing == [offset])


@when("mesh entry e0 relays its acknowledgement of batch 5")
def step_relay(context):
    world = context.mesh_world
    mesh = world.peers["e0"].mesh
    record = BatchAcked("e0", 1, 5)
    assert not mesh.relay(STREAM_FLEET, record)
    world.peers["e1"].proof_s = world.rig.loop.now()
    world.rig.run_until(lambda: mesh.relay(STREAM_FLEET, record))


@then("the log of mesh entry e1 gets that record")
def step_relayed(context):
    appended = context.mesh_world.peers["e1"].appended
    context.mesh_world.rig.run_until(lambda: appended == [BatchAcked("e0", 1, 5)])


@then("a relayed record about another entry ends the link")
def step_relay_other(context):
    world = context.mesh_world
    world.peers["e0"].mesh.relay(STREAM_FLEET, BatchAcked("e1", 1, 5))
    world.rig.run_until(lambda: not world.all_connected())
    assert len(world.peers["e1"].appended) == 1


@then("each idle mesh link carries at most 60 bytes a second each way")
def step_bytes(context):
    world = context.mesh_world
    world.rig.run_until(lambda: all(p.mesh.ledger.unlocked for p in peers(world)))
    world.rig.run_for(0.5)
    before = bytes_sent(world)
    world.rig.run_for(3.0)
    for link, count in bytes_sent(world).items():
        assert count - before[link] <= 3 * 60 + 60, count - before[link]


def bytes_sent(world):
    links = [link for peer in peers(world) for link in peer.mesh.links()]
    return {link: link.bytes_out for link in links}


def accepts_outage_report(world):
    member = Member("e1", 1, "z0", "", 0)
    return world.peers["e0"].mesh.peer_reports_outage({"e1": member}, LEASE_MS)


@then("mesh entry e0 accepts the outage report of member e1")
def step_outage(context):
    world = context.mesh_world
    world.rig.run_until(lambda: accepts_outage_report(world))


@then("it accepts none right after it was paused, but does again soon")
def step_paused(context):
    time.sleep(PEER_REPORT_LIFETIME_S + 0.1)
    assert not accepts_outage_report(context.mesh_world)
    context.mesh_world.rig.run_until(lambda: accepts_outage_report(context.mesh_world))


@then("it accepts none while e1 has read records that it lacks")
def step_missing_records(context):
    world = context.mesh_world
    world.peers["e1"].offset = 5
    world.rig.run_until(lambda: not accepts_outage_report(world))
    world.rig.run_for(1.5)
    assert not accepts_outage_report(world)
    world.peers["e0"].offset = 5
    world.rig.run_until(lambda: accepts_outage_report(world))
