"""Compares slot tokens with fixed shares and with no coordination.

A simulation with a fixed seed: entries send requests to endpoints that start what
they are given. The ledgers are the real ones over a simulated network. Prints JSON.

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

SEED = 7
ENTRIES = 7
ENDPOINTS = tuple(f"vm-{index}" for index in range(8))
SLOTS = 8
SERVICE_S = 0.02
LOAD = 0.8
DEADLINE_S = 1.0
ONE_WAY_S = 0.0005
DRAW = 2
FAULT_AT_S = 4.0
NOTICED_AFTER_S = 1.0
REPLACED_AFTER_S = 3.0
SECONDS = 12.0
SKEWED = 4


class Share:
    """A fixed share of the slots of each endpoint."""

    def __init__(self, count):
        self._count = count
        self._used = dict.fromkeys(ENDPOINTS, 0)

    def available(self, endpoint):
        """Return the slots of the share that are not taken."""
        return self._count - self._used[endpoint]

    def take(self, endpoint):
        """Take a slot when there is one."""
        if self.available(endpoint) <= 0:
            return False
        self._used[endpoint] += 1
        return True

    def give_back(self, endpoint):
        """Return a slot."""
        self._used[endpoint] -= 1

    def want(self, endpoints, count):
        """Do nothing: a share does not grow."""

    def tick(self):
        """Do nothing: a share does not change."""


@attrs.frozen
class Job:
    """A request that arrived at a time and takes a number of seconds."""

    arrived: float
    work_s: float


@attrs.define(eq=False)
class Node:
    """An entry: its slots, its waiting arrivals and its requests in flight."""

    name: str
    slots: object
    incarnation: int
    queue: deque = attrs.field(factory=deque)
    held: dict = attrs.field(factory=lambda: dict.fromkeys(ENDPOINTS, 0))
    frozen: bool = False
    dead: bool = False


@attrs.define
class Result:
    """Counts of a run; times in seconds of the requests that were answered."""

    sent: int = 0
    answered: int = 0
    expired: int = 0
    peak: int = 0
    messages: int = 0
    waits: list = attrs.field(factory=list)


class Simulation:
    """One run of one way of sharing slots."""

    def __init__(self, way, weights, fault, seconds):
        self.now = 0.0
        self.way, self.fault, self.seconds = way, fault, seconds
        self.arrivals = random.Random(SEED)
        self.rng = random.Random(SEED + 1)
        self.weights = dict(zip(self.names(), weights, strict=True))
        self.events, self.order = [], itertools.count()
        self.running = dict.fromkeys(ENDPOINTS, 0)
        self.result = Result()
        self.born = itertools.count(1)
        self.nodes = {}
        for name in self.names():
            self.start(name)

    @staticmethod
    def names():
        """Return the names of the entries."""
        return [f"e{index}" for index in range(ENTRIES)]

    def start(self, name, first=True):
        """Start an entry, which meets all others."""
        born = next(self.born)
        node = Node(name, self._slots(name, born), born)
        self.nodes[name] = node
        if self.way != "tokens":
            return
        counts = dict.fromkeys(ENDPOINTS, SLOTS)
        node.slots.configure(counts, self.names(), DEADLINE_S)
        if first:
            node.slots.record_first_incarnation()
        for other in self.nodes.values():
            if other is not node and not other.frozen:
                node.slots.record_incarnation(other.name, other.incarnation)
                other.slots.record_incarnation(name, born)

    def _slots(self, name, born):
        if self.way == "shares":
            return Share(SLOTS // ENTRIES)
        if self.way == "none":
            return Share(10**9)

        def send(peer, incarnation, message):
            self.result.messages += 1
            self.at(
                ONE_WAY_S, lambda: self.deliver(peer, incarnation, name, born, message)
            )

        return SlotLedger(
            name,
            born,
            lambda: self.now,
            send,
            lambda: self.at(0, lambda: self.drive(self.nodes[name])),
        )

    def deliver(self, peer, incarnation, name, born, message):
        """Bring a message to the incarnation it was sent to."""
        node = self.nodes[peer]
        if node.incarnation == incarnation and not node.frozen and not node.dead:
            node.slots.receive(name, born, message)

    def at(self, delay, callback):
        """Call back after a delay in simulated seconds."""
        heapq.heappush(self.events, (self.now + delay, next(self.order), callback))

    def run(self):
        """Run to the end and return the Result."""
        self.at(0.5, self.arrive)
        self.at(TICK_S, self.tick)
        if self.fault:
            self.at(FAULT_AT_S, self.fail)
        while self.events and self.now < self.seconds:
            self.now, _, callback = heapq.heappop(self.events)
            callback()
        return self.result

    def fail(self):
        """Freeze or kill the first entry; the balancer notices later."""
        node = self.nodes["e0"]
        node.frozen = self.fault == "frozen"
        node.dead = self.fault == "killed"

        def notice():
            self.weights["e0"] = 0

        def replace():
            self.start("e0", first=False)
            self.weights["e0"] = 1

        self.at(NOTICED_AFTER_S, notice)
        if node.dead:
            self.at(REPLACED_AFTER_S, replace)

    def arrive(self):
        """Give a request to an entry and draw the time of the next."""
        rate = LOAD * len(ENDPOINTS) * SLOTS / SERVICE_S
        self.at(self.arrivals.expovariate(rate), self.arrive)
        names = list(self.weights)
        weights = [self.weights[key] for key in names]
        name = self.arrivals.choices(names, weights)[0]
        work_s = self.arrivals.expovariate(1 / SERVICE_S)
        node = self.nodes[name]
        self.result.sent += 1
        if node.frozen or node.dead:
            return
        node.queue.append(Job(self.now, work_s))
        self.drive(node)

    def drive(self, node):
        """Start what the slots allow and ask for what is lacking."""
        if node.frozen or node.dead:
            return
        while node.queue:
            if self.now - node.queue[0].arrived > DEADLINE_S:
                node.queue.popleft()
                self.result.expired += 1
                continue
            endpoint = self.choose(node)
            if endpoint is None:
                break
            node.slots.take(endpoint)
            self.serve(node, endpoint, node.queue.popleft())
        node.slots.want(ENDPOINTS, len(node.queue))

    def choose(self, node):
        """Return the less loaded of two endpoints with a free slot."""
        free = [name for name in ENDPOINTS if node.slots.available(name) > 0]
        if not free:
            return None
        drawn = self.rng.sample(free, min(DRAW, len(free)))
        return min(drawn, key=node.held.get)

    def serve(self, node, endpoint, job):
        """Run a request; beyond its slots an endpoint slows down."""
        self.running[endpoint] += 1
        node.held[endpoint] += 1
        crowd = self.running[endpoint]
        self.result.peak = max(self.result.peak, crowd)
        slow = max(1.0, crowd / SLOTS)

        def end():
            self.running[endpoint] -= 1
            if node.frozen or node.dead:
                return
            node.held[endpoint] -= 1
            if self.now - job.arrived <= DEADLINE_S:
                self.result.answered += 1
                self.result.waits.append(self.now - job.arrived)
            node.slots.give_back(endpoint)
            self.drive(node)

        self.at(job.work_s * slow, end)

    def tick(self):
        """Drive the timers of all entries."""
        self.at(TICK_S, self.tick)
        for node in list(self.nodes.values()):
            if not node.frozen and not node.dead:
                node.slots.tick()
                self.drive(node)


def summary(result):
    """Return the figures of a run."""
    waits = sorted(result.waits)
    return {
        "sent": result.sent,
        "answered": result.answered,
        "goodput": round(result.answered / result.sent, 4),
        "p50_ms": round(1000 * waits[len(waits) // 2], 1),
        "p99_ms": round(1000 * waits[len(waits) * 99 // 100], 1),
        "most_in_flight": result.peak,
        "messages_per_request": round(result.messages / result.sent, 3),
    }


def main():
    """Print the figures of each way in each case, and ratios to the tokens."""
    seconds = float(sys.argv[1]) if len(sys.argv) > 1 else SECONDS
    even = (1,) * ENTRIES
    skewed = (SKEWED, *even[1:])
    cases = {
        "even": (even, None),
        "skewed": (skewed, None),
        "frozen": (even, "frozen"),
        "killed": (even, "killed"),
    }
    report = {}
    for case, (weights, fault) in cases.items():
        figures = {
            way: summary(Simulation(way, weights, fault, seconds).run())
            for way in ("tokens", "shares", "none")
        }
        tokens = figures["tokens"]
        figures["ratios"] = {
            way: {
                "goodput": round(tokens["goodput"] / figures[way]["goodput"], 3),
                "p99": round(tokens["p99_ms"] / figures[way]["p99_ms"], 3),
            }
            for way in ("shares", "none")
        }
        report[case] = figures
    print(json.dumps(report, indent=1))


if __name__ == "__main__":
    main()
