"""Compares slot tokens with fixed shares of the slots and with no coordination.

A simulation with a fixed seed: entries send requests to endpoints, which start each
one at once. The token ledgers are the real code on a simulated network. Prints JSON.

Usage: bench_slots.py [SECONDS]
"""

import heapq
import itertools
import json
import random
import sys
from collections import deque

import attrs

from cardamomgrade.slots import SlotLedger, TICK_S

# LOAD is the offered load as a fraction of all slots; SERVICE_S is the mean run time.
SEED = 7
ENTRIES = 7
ENDPOINTS = tuple(f"vm-{index}" for index in range(8))
SLOTS = 8
SERVICE_S = 0.02
LOAD = 0.8
DEADLINE_S = 1.0
ONE_WAY_S = 0.0005
CHOICES_DRAWN = 2
FAULT_AT_S = 4.0
FAULT_DETECTED_AFTER_S = 1.0
REPLACED_AFTER_S = 3.0
SECONDS = 12.0
SKEWED_WEIGHT = 4


class FixedShare:
    """A fixed share of the slots of each endpoint, with the interface of SlotLedger."""

    def __init__(self, count):
        self._count = count
        self._taken = dict.fromkeys(ENDPOINTS, 0)

    def available(self, endpoint):
        """Return the number of free slots in the share."""
        return self._count - self._taken[endpoint]

    def take(self, endpoint):
        """Take a slot and return True, or return False when none is free."""
        if self.available(endpoint) <= 0:
            return False
        self._taken[endpoint] += 1
        return True

    def give_back(self, endpoint):
        """Free a slot."""
        self._taken[endpoint] -= 1

    def want(self, endpoints, count):
        """Do nothing: the size of the share is fixed."""

    def tick(self):
        """Do nothing: the share has no timers."""


@attrs.frozen
class Request:
    """A request with its time of arrival and its run time in seconds."""

    arrived_s: float
    work_s: float


@attrs.define(eq=False)
class Entry:
    """An entry with its slots, its queue and its requests in flight per endpoint."""

    name: str
    slots: object
    incarnation: int
    queue: deque = attrs.field(factory=deque)
    in_flight: dict = attrs.field(factory=lambda: dict.fromkeys(ENDPOINTS, 0))
    frozen: bool = False
    dead: bool = False


@attrs.define
class RunResult:
    """Counts of a run; ``latencies_s`` has one value per answered request."""

    sent: int = 0
    answered: int = 0
    expired: int = 0
    peak_in_flight: int = 0
    messages: int = 0
    latencies_s: list = attrs.field(factory=list)


class Simulation:
    """One run of one scheme: ``tokens``, ``shares`` or ``none``.

    ``weights`` are the relative request rates of the entries; ``fault`` is ``frozen``,
    ``killed`` or None.
    """

    def __init__(self, scheme, weights, fault, seconds):
        self.now = 0.0
        self.scheme, self.fault, self.seconds = scheme, fault, seconds
        self.arrival_rng = random.Random(SEED)
        self.rng = random.Random(SEED + 1)
        self.weights = dict(zip(self.names(), weights, strict=True))
        self.calls, self.sequence = [], itertools.count()
        self.running = dict.fromkeys(ENDPOINTS, 0)
        self.result = RunResult()
        self.next_incarnation = itertools.count(1)
        self.entries = {}
        for name in self.names():
            self.start_entry(name)

    @staticmethod
    def names():
        """Return the names of the entries."""
        return [f"e{index}" for index in range(ENTRIES)]

    def start_entry(self, name, first=True):
        """Start an entry; it and all entries that aren't frozen learn of each other."""
        own_incarnation = next(self.next_incarnation)
        entry = Entry(name, self._slots(name, own_incarnation), own_incarnation)
        self.entries[name] = entry
        if self.scheme != "tokens":
            return
        counts = dict.fromkeys(ENDPOINTS, SLOTS)
        entry.slots.configure(counts, self.names(), DEADLINE_S)
        if first:
            entry.slots.record_first_incarnation()
        for other in self.entries.values():
            if other is not entry and not other.frozen:
                entry.slots.record_incarnation(other.name, other.incarnation)
                other.slots.record_incarnation(name, own_incarnation)

    def _slots(self, name, own_incarnation):
        if self.scheme == "shares":
            return FixedShare(SLOTS // ENTRIES)
        if self.scheme == "none":
            return FixedShare(10**9)

        def send(peer, incarnation, message):
            self.result.messages += 1
            self.call_later(
                ONE_WAY_S,
                lambda: self.deliver(peer, incarnation, name, own_incarnation, message),
            )

        return SlotLedger(
            name,
            own_incarnation,
            lambda: self.now,
            send,
            lambda: self.call_later(0, lambda: self.start_queued(self.entries[name])),
        )

    def deliver(self, peer, incarnation, name, sender_incarnation, message):
        """Deliver a message if its receiver still has the given incarnation."""
        entry = self.entries[peer]
        if entry.incarnation == incarnation and not entry.frozen and not entry.dead:
            entry.slots.receive(name, sender_incarnation, message)

    def call_later(self, delay, callback):
        """Run ``callback`` after ``delay`` simulated seconds."""
        heapq.heappush(self.calls, (self.now + delay, next(self.sequence), callback))

    def run(self):
        """Run for the given number of seconds and return the RunResult."""
        self.call_later(0.5, self.add_request)
        self.call_later(TICK_S, self.tick)
        if self.fault:
            self.call_later(FAULT_AT_S, self.inject_fault)
        while self.calls and self.now < self.seconds:
            self.now, _, callback = heapq.heappop(self.calls)
            callback()
        return self.result

    def inject_fault(self):
        """Freeze or kill the first entry; the load balancer detects it later."""
        entry = self.entries["e0"]
        entry.frozen = self.fault == "frozen"
        entry.dead = self.fault == "killed"

        def detect():
            self.weights["e0"] = 0

        def replace():
            self.start_entry("e0", first=False)
            self.weights["e0"] = 1

        self.call_later(FAULT_DETECTED_AFTER_S, detect)
        if entry.dead:
            self.call_later(REPLACED_AFTER_S, replace)

    def add_request(self):
        """Send a request to a random entry and schedule the next request."""
        rate = LOAD * len(ENDPOINTS) * SLOTS / SERVICE_S
        self.call_later(self.arrival_rng.expovariate(rate), self.add_request)
        names = list(self.weights)
        weights = [self.weights[key] for key in names]
        name = self.arrival_rng.choices(names, weights)[0]
        work_s = self.arrival_rng.expovariate(1 / SERVICE_S)
        entry = self.entries[name]
        self.result.sent += 1
        if entry.frozen or entry.dead:
            return
        entry.queue.append(Request(self.now, work_s))
        self.start_queued(entry)

    def start_queued(self, entry):
        """Start as many queued requests as there are slots, and request more slots."""
        if entry.frozen or entry.dead:
            return
        while entry.queue:
            if self.now - entry.queue[0].arrived_s > DEADLINE_S:
                entry.queue.popleft()
                self.result.expired += 1
                continue
            endpoint = self.choose(entry)
            if endpoint is None:
                break
            entry.slots.take(endpoint)
            self.serve(entry, endpoint, entry.queue.popleft())
        entry.slots.want(ENDPOINTS, len(entry.queue))

    def choose(self, entry):
        """Return the less loaded of two random endpoints with a free slot, or None."""
        free = [name for name in ENDPOINTS if entry.slots.available(name) > 0]
        if not free:
            return None
        drawn = self.rng.sample(free, min(CHOICES_DRAWN, len(free)))
        return min(drawn, key=entry.in_flight.get)

    def serve(self, entry, endpoint, request):
        """Run a request; an endpoint with more requests than slots is slower."""
        self.running[endpoint] += 1
        entry.in_flight[endpoint] += 1
        running_now = self.running[endpoint]
        self.result.peak_in_flight = max(self.result.peak_in_flight, running_now)
        slowdown = max(1.0, running_now / SLOTS)

        def end():
            self.running[endpoint] -= 1
            if entry.frozen or entry.dead:
                return
            entry.in_flight[endpoint] -= 1
            if self.now - request.arrived_s <= DEADLINE_S:
                self.result.answered += 1
                self.result.latencies_s.append(self.now - request.arrived_s)
            entry.slots.give_back(endpoint)
            self.start_queued(entry)

        self.call_later(request.work_s * slowdown, end)

    def tick(self):
        """Run the timers of all entries."""
        self.call_later(TICK_S, self.tick)
        for entry in list(self.entries.values()):
            if not entry.frozen and not entry.dead:
                entry.slots.tick()
                self.start_queued(entry)


def summary(result):
    """Return a dict of figures of a RunResult."""
    latencies_s = sorted(result.latencies_s)
    return {
        "sent": result.sent,
        "answered": result.answered,
        "goodput": round(result.answered / result.sent, 4),
        "p50_ms": round(1000 * latencies_s[len(latencies_s) // 2], 1),
        "p99_ms": round(1000 * latencies_s[len(latencies_s) * 99 // 100], 1),
        "most_in_flight": result.peak_in_flight,
        "messages_per_request": round(result.messages / result.sent, 3),
    }


def main():
    """Print the figures of each scheme in each case, and the ratios of tokens to it."""
    seconds = float(sys.argv[1]) if len(sys.argv) > 1 else SECONDS
    even = (1,) * ENTRIES
    skewed = (SKEWED_WEIGHT, *even[1:])
    cases = {
        "even": (even, None),
        "skewed": (skewed, None),
        "frozen": (even, "frozen"),
        "killed": (even, "killed"),
    }
    report = {}
    for case, (weights, fault) in cases.items():
        figures = {
            scheme: summary(Simulation(scheme, weights, fault, seconds).run())
            for scheme in ("tokens", "shares", "none")
        }
        tokens = figures["tokens"]
        figures["ratios"] = {
            scheme: {
                "goodput": round(tokens["goodput"] / figures[scheme]["goodput"], 3),
                "p99": round(tokens["p99_ms"] / figures[scheme]["p99_ms"], 3),
            }
            for scheme in ("shares", "none")
        }
        report[case] = figures
    print(json.dumps(report, indent=1))


if __name__ == "__main__":
    main()
