"""Claims of one idempotency key by four requests at different entries.

The last request is at a newcomer that folds the stream from where it starts; the
others have read all of it. Claims and releases land late, twice or never. An entry
may die at any point. Time is in ticks.
"""

import attrs
from attrs import evolve
from z3 import And, If, Not, Or

from .checker import Action, blank, down, flag, level, Model, put, up

IDLE, PENDING, RUN, NOT_RUN, DEAD = range(5)
MEMORY, DEADLINE = 3, 1
NEWCOMER = 3
REQUESTS = range(4)


@attrs.frozen
class Rules:
    """The rules of the protocol; a mutation drops one."""

    dispatch_after_read_back: bool = True
    dispatch_only_pending: bool = True
    dispatch_within_deadline: bool = True
    not_run_only_if_unsent: bool = True
    release_names_claim: bool = True
    owner_names_entry: bool = True
    refused_claims_count: bool = True
    newcomer_waits: bool = True


@attrs.frozen
class State:
    """The folds of the full readers and of the newcomer, then the requests.

    ``holder`` is a request's number plus one; ``quiet`` counts ticks since the claim
    that bars others.
    """

    holder = level(4)
    quiet = level(MEMORY)
    started = flag()
    short_holder = level(4)
    short_quiet = level(MEMORY)
    reading = level(MEMORY)
    since_run = level(MEMORY)
    twice = flag()
    untrue = flag()
    status = level(DEAD, 4)
    left = level(DEADLINE, 4)
    won = flag(4)
    releasing = flag(4)


def claims(rules=None):
    """Return the model of the claims under the rules."""
    rules = rules or Rules()
    return Model(
        blank(State, since_run=MEMORY),
        lambda s: (
            _common_actions(s)
            + [action for r in REQUESTS for action in _request_actions(rules, s, r)]
        ),
        lambda s: Not(Or(s.twice, s.untrue)),
    )


def _common_actions(s):
    ticked = evolve(
        s,
        quiet=up(s.quiet, MEMORY),
        short_quiet=up(s.short_quiet, MEMORY),
        since_run=up(s.since_run, MEMORY),
        reading=If(s.started, up(s.reading, MEMORY), s.reading),
        left=tuple(down(item) for item in s.left),
    )
    return [
        Action("tick", True, ticked),
        Action("newcomer starts", Not(s.started), evolve(s, started=True)),
    ]


def _request_actions(rules, s, r):
    pending = s.status[r] == PENDING
    live = And(s.status[r] != IDLE, s.status[r] != DEAD)
    arrives = s.status[r] == IDLE
    if r == NEWCOMER:
        waited = s.reading == MEMORY if rules.newcomer_waits else s.started
        arrives = And(arrives, waited)
    arrived = evolve(s, status=put(s.status, r, PENDING), left=put(s.left, r, DEADLINE))
    given_up = evolve(
        s,
        status=put(s.status, r, NOT_RUN),
        releasing=put(s.releasing, r, True),
        untrue=Or(s.untrue, s.status[r] == RUN),
    )
    unsent = pending if rules.not_run_only_if_unsent else live
    return [
        Action(f"claim {r}", arrives, arrived),
        Action(f"KeyClaimed {r}", s.status[r] != IDLE, _claimed(rules, s, r)),
        Action(f"dispatch {r}", _may_dispatch(rules, s, r), _dispatch(s, r)),
        Action(f"tell not run {r}", unsent, given_up),
        Action(f"KeyReleased {r}", s.releasing[r], _released(rules, s, r)),
        Action(f"die {r}", live, evolve(s, status=put(s.status, r, DEAD))),
    ]


def _claimed(rules, s, r):
    free = Or(s.holder == 0, s.quiet >= MEMORY)
    short_free = Or(s.short_holder == 0, s.short_quiet >= MEMORY)
    holder = If(free, s.quiet * 0 + r + 1, s.holder)
    short_holder = If(short_free, s.quiet * 0 + r + 1, s.short_holder)
    wins = (short_holder if r == NEWCOMER else holder) == r + 1
    if not rules.owner_names_entry:
        wins = True
    return evolve(
        s,
        holder=holder,
        quiet=0 if rules.refused_claims_count else If(free, s.quiet * 0, s.quiet),
        short_holder=If(s.started, short_holder, s.short_holder),
        short_quiet=0
        if rules.refused_claims_count
        else If(short_free, s.quiet * 0, s.short_quiet),
        won=put(s.won, r, Or(s.won[r], wins)),
    )


def _may_dispatch(rules, s, r):
    pending = s.status[r] == PENDING
    live = Or(pending, s.status[r] == NOT_RUN)
    return And(
        pending if rules.dispatch_only_pending else live,
        s.won[r] if rules.dispatch_after_read_back else True,
        s.left[r] > 0 if rules.dispatch_within_deadline else True,
    )


def _dispatch(s, r):
    return evolve(
        s,
        status=put(s.status, r, RUN),
        twice=Or(s.twice, s.since_run < MEMORY - DEADLINE),
        untrue=Or(s.untrue, s.status[r] == NOT_RUN),
        since_run=0,
    )


def _released(rules, s, r):
    held, short_held = s.holder == r + 1, s.short_holder == r + 1
    if not rules.release_names_claim:
        held = short_held = s.quiet >= 0
    return evolve(
        s,
        holder=If(held, s.quiet * 0, s.holder),
        short_holder=If(short_held, s.quiet * 0, s.short_holder),
    )
