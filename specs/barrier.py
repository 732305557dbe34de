"""Drain barrier of one VM: two entries, reads, hand-on, pauses, lost appends.

The entries' views are copies of the folded log. An append stays in flight once it
was submitted, so it may take effect late, twice, or without an answer. A read shows
the log as of its sending, the oldest that its answer can show. Time is in ticks.
"""

import attrs
from attrs import evolve
from z3 import And, If, Not, Or

from .checker import Action, blank, down, flag, level, Model, put, up

NOTICED, DRAINING, REBOOTING, SERVING = range(4)
LEASE, DEADLINE, PAUSE = 2, 2, 1
WAIT = LEASE + DEADLINE + PAUSE
ENTRIES = range(2)


@attrs.frozen
class Rules:
    """The rules of the protocol; a mutation drops one."""

    ack_by_all: bool = True
    ack_names_batch: bool = True
    bound_when_submitted: bool = True
    fresh_after_ack: bool = True
    age_from_sending: bool = True
    confirm_when_idle: bool = True
    confirm_by_all: bool = True
    wait_lease: bool = True
    wait_deadline: bool = True
    pause_bounded: bool = True


@attrs.frozen
class State:
    """The folded log, then per entry its view, appends, read and request."""

    phase = level(SERVING)
    batch = level(None)
    since_drain = level(WAIT)
    acked = flag(2)
    confirmed = flag(2)
    late = flag()
    seen_phase = level(SERVING, 2)
    seen_batch = level(None, 2)
    age = level(LEASE, 2)
    ack = level(None, 2)
    confirm = level(None, 2)
    bound = level(None, 2)
    read_phase = level(SERVING, 2)
    read_batch = level(None, 2)
    read_age = level(LEASE, 2)
    checked = level(PAUSE + 2, 2)
    running = level(DEADLINE, 2)


def barrier(rules=None):
    """Return the model of the drain barrier under the rules."""
    rules = rules or Rules()
    serving = (SERVING, SERVING)
    return Model(
        blank(State, phase=SERVING, seen_phase=serving, read_phase=serving),
        lambda s: (
            _log_actions(rules, s)
            + [action for e in ENTRIES for action in _entry_actions(rules, s, e)]
        ),
        _safe,
    )


def _safe(s):
    idle = And(*(item == 0 for item in s.running))
    return And(Or(s.phase != REBOOTING, idle), Not(s.late))


def _log_actions(rules, s):
    none = (False, False)
    wait = LEASE * rules.wait_lease + DEADLINE * rules.wait_deadline + PAUSE
    ready = Or(not rules.confirm_by_all, And(*s.confirmed), s.since_drain >= wait)
    all_acked = And(*s.acked) if rules.ack_by_all else True
    opened = evolve(s, phase=NOTICED, batch=s.batch + 1, acked=none, confirmed=none)
    drain = evolve(s, phase=DRAINING, since_drain=0)
    paused = Not(And(*(item <= PAUSE for item in s.checked)))
    may_tick = Not(paused) if rules.pause_bounded else True
    return [
        Action("BatchOpened", s.phase == SERVING, opened),
        Action("BatchAborted", s.phase == NOTICED, evolve(s, phase=SERVING)),
        Action("DrainStarted", And(s.phase == NOTICED, all_acked), drain),
        Action(
            "RebootOrdered",
            And(s.phase == DRAINING, ready),
            evolve(s, phase=REBOOTING),
        ),
        Action("VmJoined", s.phase == REBOOTING, evolve(s, phase=SERVING)),
        Action("tick", may_tick, _tick(rules, s)),
    ]


def _tick(rules, s):
    read_age = tuple(up(item, LEASE) for item in s.read_age)
    return evolve(
        s,
        since_drain=up(s.since_drain, WAIT),
        age=tuple(up(item, LEASE) for item in s.age),
        read_age=read_age if rules.age_from_sending else s.read_age,
        checked=tuple(If(n > 0, up(n, PAUSE + 2), n) for n in s.checked),
        running=tuple(down(item) for item in s.running),
    )


def _may_send(rules, s, e):
    fresh = Or(s.age[e] < LEASE, s.bound[e] != s.seen_batch[e])
    trusted = fresh if rules.fresh_after_ack else True
    return Or(s.seen_phase[e] == SERVING, And(s.seen_phase[e] == NOTICED, trusted))


def _entry_actions(rules, s, e):
    peer = 1 - e
    free = s.checked[e] == 0
    noticed = And(free, s.seen_phase[e] == NOTICED)
    idle = s.running[e] == 0 if rules.confirm_when_idle else True
    named = s.ack[e] == s.batch if rules.ack_names_batch else s.ack[e] > 0
    submitted = evolve(s, ack=put(s.ack, e, s.seen_batch[e]))
    bound = evolve(submitted, bound=put(s.bound, e, s.seen_batch[e]))
    handed = _capture(s, e, s.seen_phase[peer], s.seen_batch[peer], s.age[peer])
    return [
        Action(f"read {e}", free, _capture(s, e, s.phase, s.batch, 0)),
        Action(f"hand on to {e}", And(free, s.checked[peer] == 0), handed),
        Action(f"fold {e}", free, _fold(s, e)),
        Action(
            f"acknowledge {e}",
            noticed,
            bound if rules.bound_when_submitted else submitted,
        ),
        Action(
            f"BatchAcked {e}",
            And(named, s.phase == NOTICED),
            evolve(s, acked=put(s.acked, e, True)),
        ),
        Action(
            f"ack answered {e}",
            And(free, s.acked[e]),
            evolve(s, bound=put(s.bound, e, s.batch)),
        ),
        Action(
            f"confirm {e}",
            And(free, s.seen_phase[e] == DRAINING, idle),
            evolve(s, confirm=put(s.confirm, e, s.seen_batch[e])),
        ),
        Action(
            f"DrainConfirmed {e}",
            And(s.confirm[e] == s.batch, s.phase == DRAINING),
            evolve(s, confirmed=put(s.confirmed, e, True)),
        ),
        Action(
            f"check {e}",
            And(free, _may_send(rules, s, e)),
            evolve(s, checked=put(s.checked, e, 1)),
        ),
        Action(f"send {e}", Not(free), _send(s, e)),
        Action(f"answer {e}", s.running[e] > 0, _answer(s, e)),
    ]


def _capture(s, e, phase, batch, age):
    return evolve(
        s,
        read_phase=put(s.read_phase, e, phase),
        read_batch=put(s.read_batch, e, batch),
        read_age=put(s.read_age, e, age),
    )


def _fold(s, e):
    batch, phase, age = s.read_batch[e], s.read_phase[e], s.read_age[e]
    same = And(batch == s.seen_batch[e], phase >= s.seen_phase[e])
    newer = Or(batch > s.seen_batch[e], same)
    return evolve(
        s,
        seen_phase=put(s.seen_phase, e, If(newer, phase, s.seen_phase[e])),
        seen_batch=put(s.seen_batch, e, If(newer, batch, s.seen_batch[e])),
        age=put(s.age, e, If(age < s.age[e], age, s.age[e])),
    )


def _send(s, e):
    late = And(s.phase == DRAINING, s.since_drain > LEASE + PAUSE)
    return evolve(
        s,
        running=put(s.running, e, DEADLINE),
        checked=put(s.checked, e, 0),
        late=Or(s.late, late),
    )


def _answer(s, e):
    return evolve(s, running=put(s.running, e, 0))
