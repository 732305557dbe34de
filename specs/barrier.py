"""Model of the drain barrier of one VM with two entries.

An entry is a process that sends customer requests to the VM. Before a planned reboot,
each entry acknowledges the batch, stops sending, and confirms that it has no request
running; without all confirmations, the reboot waits for a lease, a deadline and a
pause. Proved: no request is running when the reboot is ordered, and no request is
sent later than a lease and a pause after the start of the drain.

Assumptions:

- Each entry has its own view, a copy of the folded log (the state computed from its
  records), which it updates by reading the log or by forwarding from its peer.
- A read shows the log as of the sending of the read, the oldest state that its reply
  can show.
- A submitted append stays in flight: it may take effect late, twice, or without a
  reply to its entry.
- An entry may pause between the check whether it may send and the sending, for
  PAUSE_TICKS at most.
- A request runs for DEADLINE_TICKS at most.

Time is in ticks.
"""

import attrs
from attrs import evolve
from z3 import And, If, Not, Or

from .checker import (
    Action,
    bool_field,
    decrement,
    increment,
    int_field,
    make_state,
    Model,
    set_item,
)

NOTICED, DRAINING, REBOOTING, SERVING = range(4)
LEASE_TICKS, DEADLINE_TICKS, PAUSE_TICKS = 2, 2, 1
WAIT_TICKS = LEASE_TICKS + DEADLINE_TICKS + PAUSE_TICKS
ENTRIES = range(2)


@attrs.frozen
class Rules:
    """The rules of the protocol; each mutation test switches one off.

    ack_by_all: a drain starts only once every entry has acknowledged the batch.
    ack_names_batch: an acknowledgement counts only for the batch that it names.
    bound_when_submitted: an acknowledgement binds its entry from its submission on,
        not only from the reply on.
    fresh_after_ack: an entry that has acknowledged a batch sends to the noticed VM
        only on a view younger than a lease.
    age_from_sending: the age of a view counts from the sending of its read.
    confirm_when_idle: an entry confirms only while it has no request running.
    confirm_by_all: a reboot needs the confirmations of all entries, or the wait.
    wait_lease, wait_deadline: the wait includes a lease, and a deadline.
    pause_bounded: an entry pauses for PAUSE_TICKS at most before it sends.
    """

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
    """The folded log, then for each entry its view, appends, read and request.

    ``phase`` to ``confirmed`` are the folded log; ``since_drain`` counts ticks.
    ``sent_late`` is set when a request is sent too long after the start of a drain.

    Of an entry, ``seen_phase``, ``seen_batch`` and ``age`` are its view and the view's
    age in ticks, ``read_*`` those of its last read. ``ack`` and ``confirm`` are the
    batches named by its submitted appends, 0 for none. ``bound_batch`` is the batch
    that it has acknowledged: while it is noticed, the entry sends only on a view
    younger than a lease. ``checked`` is 0, or 1 plus the ticks since the check for a
    request that is not sent yet. ``running`` is the longest time in ticks that its
    request may still run.
    """

    phase = int_field(SERVING)
    batch = int_field(None)
    since_drain = int_field(WAIT_TICKS)
    acked = bool_field(2)
    confirmed = bool_field(2)
    sent_late = bool_field()
    seen_phase = int_field(SERVING, 2)
    seen_batch = int_field(None, 2)
    age = int_field(LEASE_TICKS, 2)
    ack = int_field(None, 2)
    confirm = int_field(None, 2)
    bound_batch = int_field(None, 2)
    read_phase = int_field(SERVING, 2)
    read_batch = int_field(None, 2)
    read_age = int_field(LEASE_TICKS, 2)
    checked = int_field(PAUSE_TICKS + 2, 2)
    running = int_field(DEADLINE_TICKS, 2)


def barrier(rules=None):
    """Return the model of the drain barrier under ``rules``, by default all of them."""
    rules = rules or Rules()
    serving = (SERVING, SERVING)
    return Model(
        make_state(State, phase=SERVING, seen_phase=serving, read_phase=serving),
        lambda s: (
            _log_actions(rules, s)
            + [action for e in ENTRIES for action in _entry_actions(rules, s, e)]
        ),
        _safe,
    )


def _safe(s):
    idle = And(*(item == 0 for item in s.running))
    return And(Or(s.phase != REBOOTING, idle), Not(s.sent_late))


def _log_actions(rules, s):
    no_flags = (False, False)
    wait = (
        LEASE_TICKS * rules.wait_lease
        + DEADLINE_TICKS * rules.wait_deadline
        + PAUSE_TICKS
    )
    ready = Or(not rules.confirm_by_all, And(*s.confirmed), s.since_drain >= wait)
    all_acked = And(*s.acked) if rules.ack_by_all else True
    opened = evolve(
        s, phase=NOTICED, batch=s.batch + 1, acked=no_flags, confirmed=no_flags
    )
    drain = evolve(s, phase=DRAINING, since_drain=0)
    overdue = Not(And(*(item <= PAUSE_TICKS for item in s.checked)))
    may_tick = Not(overdue) if rules.pause_bounded else True
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
    read_age = tuple(increment(item, LEASE_TICKS) for item in s.read_age)
    return evolve(
        s,
        since_drain=increment(s.since_drain, WAIT_TICKS),
        age=tuple(increment(item, LEASE_TICKS) for item in s.age),
        read_age=read_age if rules.age_from_sending else s.read_age,
        checked=tuple(If(n > 0, increment(n, PAUSE_TICKS + 2), n) for n in s.checked),
        running=tuple(decrement(item) for item in s.running),
    )


def _may_send(rules, s, e):
    fresh = Or(s.age[e] < LEASE_TICKS, s.bound_batch[e] != s.seen_batch[e])
    may_send_noticed = fresh if rules.fresh_after_ack else True
    return Or(
        s.seen_phase[e] == SERVING, And(s.seen_phase[e] == NOTICED, may_send_noticed)
    )


def _entry_actions(rules, s, e):
    peer = 1 - e
    not_sending = s.checked[e] == 0
    may_acknowledge = And(not_sending, s.seen_phase[e] == NOTICED)
    idle = s.running[e] == 0 if rules.confirm_when_idle else True
    names_batch = s.ack[e] == s.batch if rules.ack_names_batch else s.ack[e] > 0
    submitted = evolve(s, ack=set_item(s.ack, e, s.seen_batch[e]))
    acknowledged = evolve(
        submitted, bound_batch=set_item(s.bound_batch, e, s.seen_batch[e])
    )
    forwarded = _set_read(s, e, s.seen_phase[peer], s.seen_batch[peer], s.age[peer])
    return [
        Action(f"read {e}", not_sending, _set_read(s, e, s.phase, s.batch, 0)),
        Action(f"forward to {e}", And(not_sending, s.checked[peer] == 0), forwarded),
        Action(f"fold {e}", not_sending, _fold(s, e)),
        Action(
            f"acknowledge {e}",
            may_acknowledge,
            acknowledged if rules.bound_when_submitted else submitted,
        ),
        Action(
            f"BatchAcked {e}",
            And(names_batch, s.phase == NOTICED),
            evolve(s, acked=set_item(s.acked, e, True)),
        ),
        Action(
            f"ack answered {e}",
            And(not_sending, s.acked[e]),
            evolve(s, bound_batch=set_item(s.bound_batch, e, s.batch)),
        ),
        Action(
            f"confirm {e}",
            And(not_sending, s.seen_phase[e] == DRAINING, idle),
            evolve(s, confirm=set_item(s.confirm, e, s.seen_batch[e])),
        ),
        Action(
            f"DrainConfirmed {e}",
            And(s.confirm[e] == s.batch, s.phase == DRAINING),
            evolve(s, confirmed=set_item(s.confirmed, e, True)),
        ),
        Action(
            f"check {e}",
            And(not_sending, _may_send(rules, s, e)),
            evolve(s, checked=set_item(s.checked, e, 1)),
        ),
        Action(f"send {e}", Not(not_sending), _send(s, e)),
        Action(f"answer {e}", s.running[e] > 0, _answer(s, e)),
    ]


def _set_read(s, e, phase, batch, age):
    return evolve(
        s,
        read_phase=set_item(s.read_phase, e, phase),
        read_batch=set_item(s.read_batch, e, batch),
        read_age=set_item(s.read_age, e, age),
    )


def _fold(s, e):
    batch, phase, age = s.read_batch[e], s.read_phase[e], s.read_age[e]
    same = And(batch == s.seen_batch[e], phase >= s.seen_phase[e])
    newer = Or(batch > s.seen_batch[e], same)
    return evolve(
        s,
        seen_phase=set_item(s.seen_phase, e, If(newer, phase, s.seen_phase[e])),
        seen_batch=set_item(s.seen_batch, e, If(newer, batch, s.seen_batch[e])),
        age=set_item(s.age, e, If(age < s.age[e], age, s.age[e])),
    )


def _send(s, e):
    sent_late = And(s.phase == DRAINING, s.since_drain > LEASE_TICKS + PAUSE_TICKS)
    return evolve(
        s,
        running=set_item(s.running, e, DEADLINE_TICKS),
        checked=set_item(s.checked, e, 0),
        sent_late=Or(s.sent_late, sent_late),
    )


def _answer(s, e):
    return evolve(s, running=set_item(s.running, e, 0))
