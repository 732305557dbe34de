"""Model of the drain barrier of one VM while the entry of a seat is replaced.

A seat is a place for an entry, the process that sends requests to the VM. Process 0 is
in the seat at first; process 1 is its successor, at the same address or at another
one. The members, entries that have joined in the log and are not removed, acknowledge
and confirm a drain. Proved: no request is running when the reboot is ordered.

Assumptions:

- The rules of acknowledgement, the age of views and lost replies are checked in
  ``barrier``, not here.
- The platform's list of VMs, which tells whether a process is live or gone, lags: it
  may still show a dead process, or not yet show a live one. Once it has shown a live
  process, it shows it until the process is dead.
- A request runs for its deadline at most, LONG_DEADLINE_TICKS or, for a sender that
  knows the bundle that lowers it, SHORT_DEADLINE_TICKS.

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

NOTICED, DRAINING, REBOOTING = range(3)
LONG_DEADLINE_TICKS, SHORT_DEADLINE_TICKS = 3, 1
OLD, NEW = PROCESSES = range(2)


@attrs.frozen
class Rules:
    """The rules of the protocol; each mutation test switches one off.

    send_after_join_read: a process sends only after it has read its join in the log.
    replace_at_same_address: a join removes the former process of the seat only at the
        same address, where that process must be dead.
    gone_when_seen_before: a process is removed as gone only if the platform's list has
        shown it before.
    confirm_by_all: a reboot needs the confirmations of all members.
    wait_after_removal: a reboot waits for a deadline after the last removal.
    longest_of_all_bundles: that deadline is the longest of all bundles so far, not
        that of the bundle in force.
    """

    send_after_join_read: bool = True
    replace_at_same_address: bool = True
    gone_when_seen_before: bool = True
    confirm_by_all: bool = True
    wait_after_removal: bool = True
    longest_of_all_bundles: bool = True


@attrs.frozen
class State:
    """The folded log, the platform, then for each process its view and request.

    ``deadline_lowered`` tells whether a bundle has lowered the deadline, and
    ``since_removal`` counts the ticks since the last removal of a member. ``listed`` is
    the platform's list, ``seen_live`` tells whether it has ever shown the process as
    live. ``knows_*`` is the process's view of the log. ``running`` is the longest time
    in ticks that its request may still run.
    """

    phase = int_field(REBOOTING)
    deadline_lowered = bool_field()
    since_removal = int_field(LONG_DEADLINE_TICKS)
    same_address = bool_field()
    successor_started = bool_field()
    member = bool_field(2)
    acked = bool_field(2)
    confirmed = bool_field(2)
    alive = bool_field(2)
    listed = bool_field(2)
    seen_live = bool_field(2)
    knows_member = bool_field(2)
    knows_drain = bool_field(2)
    knows_deadline_lowered = bool_field(2)
    running = int_field(LONG_DEADLINE_TICKS, 2)


def members(rules=None):
    """Return the model of replacement under ``rules``, by default all of them."""
    rules = rules or Rules()
    only_old = (True, False)
    start = make_state(
        State,
        since_removal=LONG_DEADLINE_TICKS,
        member=only_old,
        alive=only_old,
        listed=only_old,
        seen_live=only_old,
        knows_member=only_old,
    )
    return Model(
        start,
        lambda s: (
            _log_actions(rules, s)
            + [action for p in PROCESSES for action in _process_actions(rules, s, p)]
        ),
        _safe,
    )


def _safe(s):
    return Or(s.phase != REBOOTING, And(*(item == 0 for item in s.running)))


def _log_actions(rules, s):
    acked = And(*(Or(Not(s.member[p]), s.acked[p]) for p in PROCESSES))
    confirmed = And(*(Or(Not(s.member[p]), s.confirmed[p]) for p in PROCESSES))
    may_reboot = And(
        s.phase == DRAINING,
        confirmed if rules.confirm_by_all else True,
        _waited(rules, s) if rules.wait_after_removal else True,
    )
    ticked = evolve(
        s,
        since_removal=increment(s.since_removal, LONG_DEADLINE_TICKS),
        running=tuple(decrement(item) for item in s.running),
    )
    successor_started = evolve(
        s, successor_started=True, alive=set_item(s.alive, NEW, True)
    )
    started_same_address = evolve(successor_started, same_address=True)
    return [
        Action("BundleRolled", True, evolve(s, deadline_lowered=True)),
        Action(
            "DrainStarted",
            And(s.phase == NOTICED, acked),
            evolve(s, phase=DRAINING),
        ),
        Action("RebootOrdered", may_reboot, evolve(s, phase=REBOOTING)),
        Action("MemberJoined", And(s.alive[NEW], Not(s.member[NEW])), _join(rules, s)),
        Action(
            "start at the same address",
            And(Not(s.successor_started), Not(s.alive[OLD])),
            started_same_address,
        ),
        Action("start at another address", Not(s.successor_started), successor_started),
        Action("tick", True, ticked),
    ]


def _waited(rules, s):
    short = And(s.deadline_lowered, s.since_removal >= SHORT_DEADLINE_TICKS)
    waited = s.since_removal >= LONG_DEADLINE_TICKS
    return waited if rules.longest_of_all_bundles else Or(waited, short)


def _join(rules, s):
    replaces = s.same_address if rules.replace_at_same_address else True
    removed = And(s.member[OLD], replaces)
    return evolve(
        s,
        member=(And(s.member[OLD], Not(removed)), True),
        since_removal=If(removed, 0, s.since_removal),
    )


def _process_actions(rules, s, p):
    seen_gone = And(
        Not(s.listed[p]), Or(s.seen_live[p], not rules.gone_when_seen_before)
    )
    gone = evolve(s, member=set_item(s.member, p, False), since_removal=0)
    listing = evolve(
        s,
        listed=set_item(s.listed, p, s.alive[p]),
        seen_live=set_item(s.seen_live, p, Or(s.seen_live[p], s.alive[p])),
    )
    reading = evolve(
        s,
        knows_member=set_item(s.knows_member, p, s.member[p]),
        knows_drain=set_item(s.knows_drain, p, s.phase >= DRAINING),
        knows_deadline_lowered=set_item(
            s.knows_deadline_lowered, p, s.deadline_lowered
        ),
    )
    read_join = s.knows_member[p] if rules.send_after_join_read else True
    idle = And(s.knows_drain[p], s.running[p] == 0)
    is_member = And(s.alive[p], s.knows_member[p], s.member[p])
    sending = And(s.alive[p], read_join, Not(s.knows_drain[p]))
    return [
        Action(f"die {p}", s.alive[p], evolve(s, alive=set_item(s.alive, p, False))),
        Action(f"list {p}", True, listing),
        Action(f"MemberGone {p}", And(s.member[p], seen_gone), gone),
        Action(f"read {p}", s.alive[p], reading),
        Action(
            f"BatchAcked {p}", is_member, evolve(s, acked=set_item(s.acked, p, True))
        ),
        Action(
            f"DrainConfirmed {p}",
            And(is_member, idle),
            evolve(s, confirmed=set_item(s.confirmed, p, True)),
        ),
        Action(
            f"send {p}",
            And(sending, Not(s.knows_deadline_lowered[p])),
            evolve(s, running=set_item(s.running, p, LONG_DEADLINE_TICKS)),
        ),
        Action(
            f"send short {p}",
            And(sending, s.knows_deadline_lowered[p]),
            evolve(s, running=set_item(s.running, p, SHORT_DEADLINE_TICKS)),
        ),
        Action(
            f"answer {p}",
            s.running[p] > 0,
            evolve(s, running=set_item(s.running, p, 0)),
        ),
    ]
