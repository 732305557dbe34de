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
    owner_names_entry: bool = True
    release_names_claim: bool = True
    release_only_winner: bool = True
    refused_claims_count: bool = True
    newcomer_waits: bool = True


@attrs.frozen
class State:
    """The folds of the full readers and of the newcomer, then the requests.

    A claim is known by its offset from 1. ``quiet`` counts ticks since the claim
    that bars others, ``won`` is the last claim of a request that its entry's fold
    let win, ``release`` the claim that its release names.
    """

    tail = level(None)
    holder = level(None)
    quiet = level(MEMORY)
    started = flag()
    reading = level(MEMORY)
    short_holder = level(None)
    short_quiet = level(MEMORY)
    since_run = level(MEMORY)
    untrue = flag()
    twice = flag()
    status = level(DEAD, 4)
    left = level(DEADLINE, 4)
    claim = level(None, 4)
    won = level(None, 4)
    release = level(None, 4)


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
    waited = s.reading == MEMORY if rules.newcomer_waits else s.started
    unsent = pending if rules.not_run_only_if_unsent else live
    named = s.won[r] if rules.release_only_winner else s.claim[r]
    arrived = evolve(s, status=put(s.status, r, PENDING), left=put(s.left, r, DEADLINE))
    given_up = evolve(
        s,
        status=put(s.status, r, NOT_RUN),
        untrue=Or(s.untrue, s.status[r] == RUN),
    )
    return [
        Action(
            f"claim {r}",
            And(s.status[r] == IDLE, waited if r == NEWCOMER else True),
            arrived,
        ),
        Action(f"KeyClaimed {r}", s.status[r] != IDLE, _claimed(rules, s, r)),
        Action(f"dispatch {r}", _may_dispatch(rules, s, r), _dispatch(s, r)),
        Action(f"tell not run {r}", unsent, given_up),
        Action(
            f"release {r}",
            And(s.status[r] == NOT_RUN, named > 0),
            evolve(s, release=put(s.release, r, named)),
        ),
        Action(f"KeyReleased {r}", s.release[r] > 0, _released(rules, s, r)),
        Action(f"die {r}", live, evolve(s, status=put(s.status, r, DEAD))),
    ]


def _claimed(rules, s, r):
    offset = s.tail + 1
    free = Or(s.holder == 0, s.quiet >= MEMORY)
    short_free = And(s.started, Or(s.short_holder == 0, s.short_quiet >= MEMORY))
    wins = short_free if r == NEWCOMER else free
    counted = rules.refused_claims_count
    won = If(wins, offset, s.won[r] if rules.owner_names_entry else s.holder)
    return evolve(
        s,
        tail=offset,
        holder=If(free, offset, s.holder),
        quiet=If(Or(free, counted), s.quiet * 0, s.quiet),
        short_holder=If(short_free, offset, s.short_holder),
        short_quiet=If(Or(short_free, counted), s.quiet * 0, s.short_quiet),
        claim=put(s.claim, r, offset),
        won=put(s.won, r, won),
    )


def _may_dispatch(rules, s, r):
    pending = s.status[r] == PENDING
    live = Or(pending, s.status[r] == NOT_RUN)
    return And(
        pending if rules.dispatch_only_pending else live,
        s.won[r] > 0 if rules.dispatch_after_read_back else True,
        s.left[r] > 0 if rules.dispatch_within_deadline else True,
    )


def _dispatch(s, r):
    return evolve(
        s,
        status=put(s.status, r, RUN),
        since_run=0,
        twice=Or(s.twice, s.since_run < MEMORY - DEADLINE),
        untrue=Or(s.untrue, s.status[r] == NOT_RUN),
    )


def _released(rules, s, r):
    any_claim = not rules.release_names_claim
    held = Or(any_claim, s.holder == s.release[r])
    short_held = Or(any_claim, s.short_holder == s.release[r])
    return evolve(
        s,
        holder=If(held, s.quiet * 0, s.holder),
        short_holder=If(short_held, s.quiet * 0, s.short_holder),
    )
