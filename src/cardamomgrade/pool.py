"""The endpoints of each pool as one entry uses them: health, slots, connections."""

import attrs

from .backlog import Backlog, Throughput
from .choice import Candidate, Choice, Chooser, Ejected, Restored
from .endpoint import Call, Endpoint
from .entry_events import EndpointEjected, EndpointRestored
from .journal import log_event
from .route import forwarded_request

SLOW_TIMEOUT_RATIO = 4.0
SLOW_TIMEOUT_MIN_S = 0.001


@attrs.define(eq=False)
class Attempt:
    """One request sent to one endpoint; ``started`` is in seconds of the loop's clock.

    ``timer`` ends the attempt in favour of another endpoint, when there is one.
    """

    request: object
    choice: Choice
    endpoint: Endpoint
    started: float
    call: Call = None
    timer: object = None

    @property
    def vm(self):
        """The name of the endpoint's VM."""
        return self.choice.candidate.vm


class EndpointPool:
    """State that the requests of one pool share: their queue and endpoint health.

    ``in_flight`` counts the attempts that run now.
    """

    def __init__(self, rng):
        self.backlog = Backlog()
        self.chooser = Chooser(rng)
        self.in_flight = 0
        self.vms = {}

    def update(self, vms):
        """Set the pool's VMs, {name: VmState}."""
        if vms is not self.vms:
            self.vms = vms
            self.chooser.update(vms)

    def throughput(self):
        """Return the Throughput that this entry observes on the pool."""
        return Throughput(self.chooser.typical_s(), self.in_flight)


class EndpointPools:
    """All pools of one entry, with their connections and reserved slots.

    ``on_slot_free(pool)`` is called with a pool's name when a slot that was kept
    after the end of an attempt is released.
    """

    def __init__(self, loop, net, fleet, ledger, rng, body_limit):
        self._loop = loop
        self._net = net
        self._fleet = fleet
        self._ledger = ledger
        self._rng = rng
        self._body_limit = body_limit
        self._pools = {}
        self._endpoints = {}
        self._held = {}
        self._bundle = None
        self.on_slot_free = lambda pool: None

    def update(self):
        """Apply the fleet's current state; called after each change of it."""
        state = self._fleet.state
        for name, pool in self._pools.items():
            pool.update(state.vms.pool(name))
        if state.bundle is not None:
            self._configure_ledger(state)

    def _configure_ledger(self, state):
        bundle = state.bundle
        slots = {
            vm.name: bundle.pools[vm.pool].slots
            for vm in state.vms.values()
            if vm.pool in bundle.pools
        }
        longest_deadline_s = state.deadline_peak_ms / 1000
        self._ledger.configure(slots, bundle.seats, longest_deadline_s)

    def names(self):
        """Return the names of the pools that have had requests."""
        return list(self._pools)

    def pool(self, name):
        """Return the EndpointPool of a name; it is created on first use."""
        pool = self._pools.get(name)
        if pool is None:
            pool = self._pools[name] = EndpointPool(self._rng)
            pool.update(self._fleet.state.vms.pool(name))
        return pool

    def held(self, vm):
        """Return how many requests of this entry may still be running on a VM."""
        return self._held.get(vm, 0)

    def connections(self, vm):
        """Return how many connections to a VM are open or being opened."""
        endpoint = self._endpoints.get(vm)
        return endpoint.open if endpoint is not None else 0

    def choose(self, request):
        """Return a Choice for a request, or a Refusal when no endpoint is usable."""
        pool = self.pool(request.service.pool)
        candidates = self._candidates(pool)
        return pool.chooser.choose(
            candidates, self._loop.now(), request.tried, request.repeatable
        )

    def _candidates(self, pool):
        """Return the candidates; failed VMs only when there are no others."""
        bundle_vms = self._fleet.state.bundle.vms
        healthy, failed = [], []
        for vm, state in pool.vms.items():
            bundle_vm = bundle_vms.get(vm)
            if bundle_vm is None or not self._fleet.may_send(vm):
                continue
            free = min(self._ledger.available(vm), self._free_connections(vm))
            item = Candidate(vm, bundle_vm.zone, bundle_vm.rack, self.held(vm), free)
            (failed if state.failed else healthy).append(item)
        return healthy or failed

    def _free_connections(self, vm):
        endpoint = self._endpoints.get(vm)
        return endpoint.free_connections if endpoint is not None else 1

    def request_slots(self, name):
        """Request one slot of a pool for each of its queued requests."""
        pool = self.pool(name)
        vms = tuple(vm for vm in pool.vms if self._fleet.may_send(vm))
        if vms:
            self._ledger.want(vms, pool.backlog.size)

    def reserve(self, request, choice):
        """Take a slot of the chosen endpoint; return whether there was one."""
        if self._ledger.take(choice.candidate.vm):
            return True
        self.pool(request.service.pool).chooser.skip(choice)
        return False

    def start(self, request, choice, on_done):
        """Send a request on its reserved slot and return the Attempt.

        ``on_done(attempt, result)`` is called once, later, with an HttpResponse or
        a Failure.
        """
        vm = choice.candidate.vm
        self._held[vm] = self.held(vm) + 1
        self.pool(request.service.pool).in_flight += 1
        endpoint = self._endpoint(vm)
        attempt = Attempt(request, choice, endpoint, self._loop.now())
        req = forwarded_request(request.exchange.req, request.id, endpoint.address)
        attempt.call = endpoint.start(
            req, request.id, request.repeatable, lambda result: on_done(attempt, result)
        )
        return attempt

    def _endpoint(self, vm):
        """Return the Endpoint of a VM; a new one when its address has changed."""
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

    def finish(self, attempt, ok, release_delay_s):
        """Record the result of an attempt; release its slot after the delay.

        ``ok`` is None when the outcome says nothing about the endpoint's health.
        """
        pool = self.pool(attempt.request.service.pool)
        pool.in_flight -= 1
        if attempt.timer is not None:
            attempt.timer.cancel()
        if ok is None:
            pool.chooser.skip(attempt.choice)
        else:
            self._record_result(pool, attempt, ok)
        if release_delay_s:
            self._loop.call_later(
                release_delay_s, lambda: self._release_delayed(attempt)
            )
        else:
            self._release(attempt)

    def _record_result(self, pool, attempt, ok):
        now = self._loop.now()
        seconds = now - attempt.started
        change = pool.chooser.record(attempt.choice, ok, seconds, now)
        if isinstance(change, Ejected):
            log_event(EndpointEjected(change.vm, change.reason, change.delay_s))
        elif isinstance(change, Restored):
            log_event(EndpointRestored(change.vm))

    def _release(self, attempt):
        vm = attempt.vm
        self._ledger.give_back(vm)
        self._held[vm] -= 1
        if not self._held[vm]:
            del self._held[vm]

    def _release_delayed(self, attempt):
        self._release(attempt)
        self.on_slot_free(attempt.request.service.pool)

    def abort(self, attempt):
        """Cancel an attempt; a response that still comes is dropped.

        It counts as a failure of the endpoint when it took SLOW_TIMEOUT_RATIO times
        the typical time or half of the service's deadline. Once bytes were sent, the
        slot is kept for the length of the deadline, as the request may still run.
        """
        attempt.endpoint.abort(attempt.call)
        elapsed_s = self._loop.now() - attempt.started
        service = attempt.request.service
        typical_s = self.pool(service.pool).chooser.typical_s()
        slow_s = max(typical_s * SLOW_TIMEOUT_RATIO, SLOW_TIMEOUT_MIN_S)
        slow = elapsed_s >= min(slow_s, service.deadline_ms / 2000)
        release_delay_s = service.deadline_ms / 1000 if attempt.call.sent else 0
        self.finish(attempt, False if slow else None, release_delay_s)

    def sweep(self):
        """Close connections that were idle too long; remove endpoints of removed VMs.

        An endpoint whose VM has left the fleet is removed once its last connection
        is closed.
        """
        for vm, endpoint in list(self._endpoints.items()):
            endpoint.sweep()
            if vm not in self._fleet.state.vms and not endpoint.open:
                del self._endpoints[vm]
