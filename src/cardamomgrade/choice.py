"""Load balancing between endpoints by power of two choices, with outlier ejection.

Of two random endpoints the less loaded one is chosen. Endpoints that fail or are slow
are ejected for a delay and restored after successful probes.
"""

import statistics
from collections import Counter

import attrs

from .refusal import Reason, Refusal

SMOOTHING_WEIGHT_MIN = 0.2
EJECT_FAILURE_RATE = 0.6
LOAD_FAILURE_FACTOR = 20.0
FAILURE_SAMPLES_MIN = 5
SLOW_SAMPLES_MIN = 10
SLOW_RATIO = 4.0
SLOW_LATENCY_MIN_S = 0.02
EJECT_MIN_S = 1.0
EJECT_MAX_S = 30.0
RESTORE_PROBES = 2


@attrs.frozen
class Candidate:
    """An endpoint to choose from, with its requests in flight and free slots here."""

    vm: str
    zone: str
    rack: str
    in_flight: int
    free: int


@attrs.frozen
class RefusedCount:
    """The number of candidates refused for one reason."""

    reason: str
    count: int


@attrs.frozen
class Choice:
    """The chosen endpoint; ``probe`` is set when it is ejected and being probed."""

    candidate: Candidate
    probe: bool
    refused: tuple = ()


@attrs.frozen
class Ejected:
    """An endpoint was ejected; it is probed after ``delay_s`` seconds plus jitter."""

    vm: str
    reason: str
    delay_s: float


@attrs.frozen
class Restored:
    """An ejected endpoint passed its probes and gets requests again."""

    vm: str


@attrs.define
class _EndpointHealth:
    """Exponentially smoothed failure rate and latency, and ejection of one endpoint.

    Times are in seconds.
    """

    samples: int = 0
    failure_rate: float = 0.0
    latency_s: float = 0.0
    ejections: int = 0
    ejected: bool = False
    ejection_s: float = 0.0
    ejected_until: float = 0.0
    probes_pending: int = 0
    probes_passed: int = 0

    def add(self, ok, seconds):
        """Add one outcome; only successful ones count for the latency."""
        self.samples += 1
        weight = max(SMOOTHING_WEIGHT_MIN, 1.0 / self.samples)
        self.failure_rate += weight * ((not ok) - self.failure_rate)
        if ok:
            self.latency_s += weight * (seconds - self.latency_s)


class Chooser:
    """Chooses among the endpoints of one pool and records the outcomes."""

    def __init__(self, rng):
        self._rng = rng
        self._health = {}

    def update(self, vms):
        """Set the endpoints of the pool; the health of all others is dropped."""
        known = self._health
        self._health = {vm: known.get(vm) or _EndpointHealth() for vm in vms}

    def typical_s(self):
        """Return the median of the endpoints' smoothed latencies in seconds."""
        known = [item.latency_s for item in self._health.values() if item.latency_s]
        return statistics.median(known) if known else 0.0

    def choose(self, candidates, now, tried=(), repeatable=True):
        """Return a Choice, or a Refusal with the number of candidates by reason.

        ``tried`` holds the candidates of earlier tries of the request. A probe that is
        due is sent with a repeatable request; other requests are used for it only when
        the ejection delay has passed a second time.
        """
        refused = Counter()
        eligible, probes = [], []
        for item in candidates:
            reason = self._skip_reason(item, now, tried, repeatable)
            if reason:
                refused[reason] += 1
            elif self._health_of(item.vm).ejected:
                probes.append(item)
            else:
                eligible.append(item)
        counts = tuple(RefusedCount(*pair) for pair in sorted(refused.items()))
        if probes:
            return self._probe(probes[0], counts)
        if not eligible:
            detail = ", ".join(f"{item.count} {item.reason}" for item in counts)
            return Refusal(Reason.UNAVAILABLE, detail or "no endpoint")
        return Choice(self._pick(_in_untried_domains(eligible, tried)), False, counts)

    def _health_of(self, vm):
        return self._health.setdefault(vm, _EndpointHealth())

    def _skip_reason(self, item, now, tried, repeatable):
        if any(item.vm == other.vm for other in tried):
            return "tried"
        if item.free <= 0:
            return "no free slot"
        health = self._health_of(item.vm)
        if not health.ejected:
            return ""
        due = (
            health.ejected_until
            if repeatable
            else health.ejected_until + health.ejection_s
        )
        return "ejected" if now < due or health.probes_pending else ""

    def _probe(self, item, counts):
        self._health[item.vm].probes_pending += 1
        return Choice(item, True, counts)

    def _pick(self, eligible):
        pair = self._rng.sample(eligible, 2) if len(eligible) > 1 else eligible
        return min(pair, key=self._load)

    def _load(self, item):
        failure_rate = self._health[item.vm].failure_rate
        return (item.in_flight + 1) * (1.0 + LOAD_FAILURE_FACTOR * failure_rate)

    def skip(self, choice):
        """Discard a choice without an outcome; its probe may be sent again."""
        if choice.probe:
            self._health_of(choice.candidate.vm).probes_pending = 0

    def record(self, choice, ok, seconds, now):
        """Record an outcome; return Ejected, Restored or None."""
        vm = choice.candidate.vm
        health = self._health_of(vm)
        health.add(ok, seconds)
        if choice.probe:
            return self._record_probe(vm, health, ok, seconds, now)
        if health.ejected:
            return None
        reason = self._ejection_reason(vm, health)
        if reason and self._can_eject():
            return self._eject(vm, health, reason, now)
        if health.samples > 10 * SLOW_SAMPLES_MIN:
            health.ejections = 0
        return None

    def _record_probe(self, vm, health, ok, seconds, now):
        health.probes_pending = 0
        if not ok or self._is_slow(vm, seconds):
            return self._eject(vm, health, "probe failed", now)
        health.probes_passed += 1
        if health.probes_passed < RESTORE_PROBES:
            return None
        self._health[vm] = _EndpointHealth(ejections=health.ejections)
        return Restored(vm)

    def _ejection_reason(self, vm, health):
        if (
            health.samples >= FAILURE_SAMPLES_MIN
            and health.failure_rate >= EJECT_FAILURE_RATE
        ):
            return "failing"
        if health.samples >= SLOW_SAMPLES_MIN and self._is_slow(vm, health.latency_s):
            return "slow"
        return ""

    def _is_slow(self, vm, seconds):
        others = [
            item.latency_s
            for name, item in self._health.items()
            if name != vm and item.latency_s and not item.ejected
        ]
        if not others or seconds < SLOW_LATENCY_MIN_S:
            return False
        return seconds > SLOW_RATIO * statistics.median(others)

    def _can_eject(self):
        ejected = sum(item.ejected for item in self._health.values())
        return ejected + 1 <= len(self._health) // 2

    def _eject(self, vm, health, reason, now):
        health.ejection_s = min(EJECT_MAX_S, EJECT_MIN_S * 2**health.ejections)
        health.ejections = min(health.ejections + 1, 10)
        health.ejected = True
        health.probes_passed = 0
        health.ejected_until = now + health.ejection_s * (
            1.0 + 0.2 * self._rng.random()
        )
        return Ejected(vm, reason, health.ejection_s)


def _in_untried_domains(eligible, tried):
    """Return the candidates in untried zones, else in untried racks, else all."""
    zones = {item.zone for item in tried}
    racks = {(item.zone, item.rack) for item in tried}
    return (
        [item for item in eligible if item.zone not in zones]
        or [item for item in eligible if (item.zone, item.rack) not in racks]
        or eligible
    )
