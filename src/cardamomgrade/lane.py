"""The endpoints of each pool as one entry uses them: health, slots, connections."""

import attrs

from .backlog import Backlog, Pace
from .choice import Candidate, Choice, Chooser, Ejected, Restored
from .endpoint import Call, Endpoint
from .entry_events import EndpointEjected, EndpointRestored
from .journal import note
from .route import forwarded_request

SLOW_TIMEOUT_RATIO = 4.0
SLOW_TIMEOUT_MIN_S = 0.001


@attrs.define(eq=False)
class Attempt:
    """A request given to one endpoint; ``started`` in seconds."""

    job: object
    choice: Choice
    endpoint: Endpoint
    started: float
    call: Call = None
    timer: object = None

    @property
    def vm(self):
        """The name of the endpoint's VM."""
        return self.choice.candidate.vm


class Lane:
    """What one pool's requests share: a queue and the health of endpoints."""

    def __init__(self, rng):
        self.backlog = Backlog()
        self.chooser = Chooser(rng)
        self.in_flight = 0
        self.vms = {}

    def update(self, vms):
        """Take the pool's VMs, {name: VmState}."""
        if vms is not self.vms:
            self.vms = vms
            self.chooser.update(vms)

    def pace(self):
        """Return the Pace at which this entry's requests are served."""
        return Pace(self.chooser.typical_s(), self.in_flight)


class Lanes:
    """The lanes of all pools; ``on_room(pool)`` is called when a slot is released."""

    def __init__(self, loop, net, fleet, ledger, rng, body_limit):
        self._loop = loop
        self._net = net
        self._fleet = fleet
        self._ledger = ledger
        self._rng = rng
        self._body_limit = body_limit
        self._lanes = {}
        self._endpoints = {}
        self._held = {}
        self._bundle = None
        self.on_room = lambda pool: None

    def update(self):
        """Take the fleet's state over after it has changed."""
        state = self._fleet.state
        for pool, lane in self._lanes.items():
            lane.update(state.vms.pool(pool))
        if state.bundle is not None:
            self._configure(state)

    def _configure(self, state):
        bundle = state.bundle
        slots = {
            vm.name: bundle.pools[vm.pool].slots
            for vm in state.vms.values()
            if vm.pool in bundle.pools
        }
        longest_s = state.deadline_peak_ms / 1000
        self._ledger.configure(slots, bundle.seats, longest_s)

    def pools(self):
        """Return the names of the pools that have had requests."""
        return list(self._lanes)

    def lane(self, pool):
        """Return the Lane of a pool."""
        lane = self._lanes.get(pool)
        if lane is None:
            lane = self._lanes[pool] = Lane(self._rng)
            lane.update(self._fleet.state.vms.pool(pool))
        return lane

    def held(self, vm):
        """Return how many requests may be running on a VM for this entry."""
        return self._held.get(vm, 0)

    def connections(self, vm):
        """Return how many connections to a VM are open or being opened."""
        endpoint = self._endpoints.get(vm)
        return endpoint.open if endpoint is not None else 0

    def choose(self, job):
        """Return a Choice for a job, or the Refusal of every endpoint."""
        lane = self.lane(job.service.pool)
        candidates = self._candidates(lane)
        return lane.chooser.choose(
            candidates, self._loop.now(), job.tried, job.repeatable
        )

    def _candidates(self, lane):
        places = self._fleet.state.bundle.vms
        found, failed = [], []
        for vm, known in lane.vms.items():
            place = places.get(vm)
            if place is None or not self._fleet.may_send(vm):
                continue
            free = min(self._ledger.available(vm), self._room(vm))
            item = Candidate(vm, place.zone, place.rack, self.held(vm), free)
            (failed if known.failed else found).append(item)
        return found or failed

    def _room(self, vm):
        endpoint = self._endpoints.get(vm)
        return endpoint.room if endpoint is not None else 1

    def want(self, pool):
        """Ask for as many slots as requests wait for."""
        lane = self.lane(pool)
        vms = tuple(vm for vm in lane.vms if self._fleet.may_send(vm))
        if vms:
            self._ledger.want(vms, lane.backlog.size)

    def reserve(self, job, choice):
        """Take a slot of the chosen endpoint; return whether there was one."""
        if self._ledger.take(choice.candidate.vm):
            return True
        self.lane(job.service.pool).chooser.skip(choice)
        return False

    def start(self, job, choice, on_done):
        """Send a job on its reserved slot; ``on_done(attempt, result)``."""
        vm = choice.candidate.vm
        self._held[vm] = self.held(vm) + 1
        self.lane(job.service.pool).in_flight += 1
        endpoint = self._endpoint(vm)
        attempt = Attempt(job, choice, endpoint, self._loop.now())
        req = forwarded_request(job.exchange.req, job.id, endpoint.address)
        attempt.call = endpoint.start(
            req, job.id, job.repeatable, lambda result: on_done(attempt, result)
        )
        return attempt

    def _endpoint(self, vm):
        state = self._fleet.state
        address = state.bundle.vms[vm].address
        endpoint = self._endpoints.get(vm)
        if endpoint is not None and endpoint.address == address:
            return endpoint
        if endpoint is not None:
            endpoint.close()
        pool = state.bundle.pools[state.vms[vm].pool]
        limit = max(1, pool.connections // len(state.bundle.seats))
        endpoint = Endpoint(self._loop, self._net, address, limit, self._body_limit)
        self._endpoints[vm] = endpoint
        return endpoint

    def finish(self, attempt, ok, linger_s):
        """Learn from an attempt and release its slot, ``linger_s`` later.

        ``ok`` is None when the outcome says nothing about the endpoint.
        """
        lane = self.lane(attempt.job.service.pool)
        lane.in_flight -= 1
        if attempt.timer is not None:
            attempt.timer.cancel()
        if ok is None:
            lane.chooser.skip(attempt.choice)
        else:
            self._learn(lane, attempt, ok)
        if linger_s:
            self._loop.call_later(linger_s, lambda: self._late_release(attempt))
        else:
            self._release(attempt)

    def _learn(self, lane, attempt, ok):
        now = self._loop.now()
        seconds = now - attempt.started
        change = lane.chooser.record(attempt.choice, ok, seconds, now)
        if isinstance(change, Ejected):
            note(EndpointEjected(change.vm, change.reason, change.delay_s))
        elif isinstance(change, Restored):
            note(EndpointRestored(change.vm))

    def _release(self, attempt):
        vm = attempt.vm
        self._ledger.give_back(vm)
        self._held[vm] -= 1
        if not self._held[vm]:
            del self._held[vm]

    def _late_release(self, attempt):
        self._release(attempt)
        self.on_room(attempt.job.service.pool)

    def abort(self, attempt):
        """Cut an attempt short; a late answer reaches nobody."""
        attempt.endpoint.abort(attempt.call)
        waited = self._loop.now() - attempt.started
        service = attempt.job.service
        typical_s = self.lane(service.pool).chooser.typical_s()
        usual = max(typical_s * SLOW_TIMEOUT_RATIO, SLOW_TIMEOUT_MIN_S)
        slow = waited >= min(usual, service.deadline_ms / 2000)
        linger_s = service.deadline_ms / 1000 if attempt.call.sent else 0
        self.finish(attempt, False if slow else None, linger_s)

    def sweep(self):
        """Close connections that are idle for long or lead to no VM any more."""
        for vm, endpoint in list(self._endpoints.items()):
            endpoint.sweep()
            if vm not in self._fleet.state.vms and not endpoint.open:
                del self._endpoints[vm]
