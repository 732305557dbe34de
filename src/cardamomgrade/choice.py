"""Choice of an endpoint: least loaded of two, with ejection of bad ones."""

import statistics
from collections import Counter

import attrs

from .refusal import Reason, Refusal

SMOOTHING = 0.2
FAILURE_LIMIT = 0.6
FAILURE_WEIGHT = 20.0
MIN_SAMPLES = 5
SLOW_SAMPLES = 10
SLOW_RATIO = 4.0
SLOW_FLOOR_S = 0.02
EJECT_MIN_S = 1.0
EJECT_MAX_S = 30.0
PROBE_GOAL = 2


@attrs.frozen
class Candidate:
    """An endpoint that may be sent to, with its load and free slots here."""

    vm: str
    zone: str
    rack: str
    in_flight: int
    free: int


@attrs.frozen
class RefusedCount:
    """How many candidates were passed over for one reason."""

    reason: str
    count: int


@attrs.frozen
class Choice:
    """The chosen endpoint; ``probe`` when it is tried after an ejection."""

    candidate: Candidate
    probe: bool
    refused: tuple = ()


@attrs.frozen
class Ejected:
    """An endpoint gets no requests for ``delay_s`` seconds."""

    vm: str
    reason: str
    delay_s: float


@attrs.frozen
class Restored:
    """An ejected endpoint answered its probes."""

    vm: str


@attrs.define
class _Health:
    """Smoothed outcomes of one endpoint; times in seconds."""

    samples: int = 0
    failure: float = 0.0
    latency: float = 0.0
    ejections: int = 0
    ejected: bool = False
    delay: float = 0.0
    until: float = 0.0
    probes: int = 0
    probed: int = 0

    def add(self, ok, seconds):
        """Fold in one outcome."""
        self.samples += 1
        weight = max(SMOOTHING, 1.0 / self.samples)
        self.failure += weight * ((not ok) - self.failure)
        if ok:
            self.latency += weight * (seconds - self.latency)


class Chooser:
    """Chooses among the endpoints of one pool and learns from the outcomes."""

    def __init__(self, rng):
        self._rng = rng
        self._health = {}

    def update(self, vms):
        """Set the endpoints of the pool; what is known of the others is dropped."""
        known = self._health
        self._health = {vm: known.get(vm) or _Health() for vm in vms}

    def typical_s(self):
        """Return the median of the endpoints' smoothed latencies in seconds."""
        known = [item.latency for item in self._health.values() if item.latency]
        return statistics.median(known) if known else 0.0

    def choose(self, candidates, now, tried=(), repeatable=True):
        """Return a Choice or a Refusal that counts why each was passed over.

        ``tried`` holds the candidates of earlier tries. A probe is given to a
        repeatable request first and to any other one only when it is overdue.
        """
        refused = Counter()
        fit, probes = [], []
        for item in candidates:
            reason = self._objection(item, now, tried, repeatable)
            if reason:
                refused[reason] += 1
            elif self._health_of(item.vm).ejected:
                probes.append(item)
            else:
                fit.append(item)
        counts = tuple(RefusedCount(*pair) for pair in sorted(refused.items()))
        if probes:
            return self._probe(probes[0], counts)
        if not fit:
            detail = ", ".join(f"{item.count} {item.reason}" for item in counts)
            return Refusal(Reason.UNAVAILABLE, detail or "no endpoint")
        return Choice(self._pick(_apart(fit, tried)), False, counts)

    def _health_of(self, vm):
        return self._health.setdefault(vm, _Health())

    def _objection(self, item, now, tried, repeatable):
        if any(item.vm == other.vm for other in tried):
            return "tried"
        if item.free <= 0:
            return "no free slot"
        health = self._health_of(item.vm)
        if not health.ejected:
            return ""
        due = health.until if repeatable else health.until + health.delay
        return "ejected" if now < due or health.probes else ""

    def _probe(self, item, counts):
        self._health[item.vm].probes += 1
        return Choice(item, True, counts)

    def _pick(self, fit):
        pair = self._rng.sample(fit, 2) if len(fit) > 1 else fit
        return min(pair, key=self._load)

    def _load(self, item):
        failure = self._health[item.vm].failure
        return (item.in_flight + 1) * (1.0 + FAILURE_WEIGHT * failure)

    def skip(self, choice):
        """Learn nothing from a choice; a probe may be given out again."""
        if choice.probe:
            self._health_of(choice.candidate.vm).probes = 0

    def record(self, choice, ok, seconds, now):
        """Learn from an outcome; return Ejected, Restored or None."""
        vm = choice.candidate.vm
        health = self._health_of(vm)
        health.add(ok, seconds)
        if choice.probe:
            return self._record_probe(vm, health, ok, seconds, now)
        if health.ejected:
            return None
        reason = self._fault(vm, health)
        if reason and self._may_eject():
            return self._eject(vm, health, reason, now)
        if health.samples > 10 * SLOW_SAMPLES:
            health.ejections = 0
        return None

    def _record_probe(self, vm, health, ok, seconds, now):
        health.probes = 0
        if not ok or self._slow(vm, seconds):
            return self._eject(vm, health, "probe failed", now)
        health.probed += 1
        if health.probed < PROBE_GOAL:
            return None
        self._health[vm] = _Health(ejections=health.ejections)
        return Restored(vm)

    def _fault(self, vm, health):
        if health.samples >= MIN_SAMPLES and health.failure >= FAILURE_LIMIT:
            return "failing"
        if health.samples >= SLOW_SAMPLES and self._slow(vm, health.latency):
            return "slow"
        return ""

    def _slow(self, vm, seconds):
        others = [
            item.latency
            for name, item in self._health.items()
            if name != vm and item.latency and not item.ejected
        ]
        if not others or seconds < SLOW_FLOOR_S:
            return False
        return seconds > SLOW_RATIO * statistics.median(others)

    def _may_eject(self):
        ejected = sum(item.ejected for item in self._health.values())
        return ejected + 1 <= len(self._health) // 2

    def _eject(self, vm, health, reason, now):
        health.delay = min(EJECT_MAX_S, EJECT_MIN_S * 2**health.ejections)
        health.ejections = min(health.ejections + 1, 10)
        health.ejected = True
        health.probed = 0
        health.until = now + health.delay * (1.0 + 0.2 * self._rng.random())
        return Ejected(vm, reason, health.delay)


def _apart(fit, tried):
    """Return the candidates in other zones than the tried ones, or other racks."""
    zones = {item.zone for item in tried}
    racks = {(item.zone, item.rack) for item in tried}
    return (
        [item for item in fit if item.zone not in zones]
        or [item for item in fit if (item.zone, item.rack) not in racks]
        or fit
    )
