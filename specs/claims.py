"""Model of the claims of one idempotency key by four requests at different entries.

An entry appends a claim to a stream before it dispatches a request, and dispatches it
only if the claim wins: no earlier claim held the key when it was read. A key is held
until the release of its claim, or until MEMORY_TICKS after the last claim. Proved:
any two dispatches are at least MEMORY_TICKS - DEADLINE_TICKS apart, and a request
that was reported as not run was not dispatched.

Assumptions:

- Three entries have read the whole stream. The fourth one, a newcomer, folds it from
  some record on.
- Claims and releases take effect late, twice or never.
- An entry may die at any point.

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

IDLE, PENDING, RUN, NOT_RUN, DEAD = range(5)
MEMORY_TICKS, DEADLINE_TICKS = 3, 1
NEWCOMER = 3
REQUESTS = range(4)


@attrs.frozen
class Rules:
    """The rules of the protocol; each mutation test switches one off.

    dispatch_after_read_back: an entry dispatches a request only after it has read its
        claim back and the claim has won.
    dispatch_only_pending: a request reported as not run is not dispatched.
    dispatch_within_deadline: a request is dispatched only before its deadline.
    not_run_only_if_unsent: a request is reported as not run only if it was not sent.
    owner_names_entry: a claim names its entry, so that no other entry takes the win for
        its own.
    release_names_claim: a release ends only the claim that it names.
    release_only_winner: a release names only a claim that has won.
    refused_claims_count: a claim that does not win restarts the memory too.
    newcomer_waits: a newcomer takes requests only after it has read the stream for
        MEMORY_TICKS.
    """

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

    A claim is identified by its offset in the stream, from 1; 0 stands for none.
    ``holder`` is the claim that holds the key and ``since_claim`` the ticks since the
    last claim that keeps it held; ``newcomer_*`` are those of the newcomer's fold.
    ``reading_ticks`` is the time for which the newcomer has read, ``since_run`` that
    since the last dispatch. ``ran_twice`` and ``false_not_run`` record violations.

    Of a request, ``time_left`` is the time to its deadline, ``claim`` its last claim,
    ``won`` its last claim that has won in its entry's fold, and ``release`` the claim
    that its release names.
    """

    tail = int_field(None)
    holder = int_field(None)
    since_claim = int_field(MEMORY_TICKS)
    newcomer_started = bool_field()
    reading_ticks = int_field(MEMORY_TICKS)
    newcomer_holder = int_field(None)
    newcomer_since_claim = int_field(MEMORY_TICKS)
    since_run = int_field(MEMORY_TICKS)
    false_not_run = bool_field()
    ran_twice = bool_field()
    status = int_field(DEAD, 4)
    time_left = int_field(DEADLINE_TICKS, 4)
    claim = int_field(None, 4)
    won = int_field(None, 4)
    release = int_field(None, 4)


def claims(rules=None):
    """Return the model of the claims under ``rules``, by default all of them."""
    rules = rules or Rules()
    return Model(
        make_state(State, since_run=MEMORY_TICKS),
        lambda s: (
            _common_actions(s)
            + [action for r in REQUESTS for action in _request_actions(rules, s, r)]
        ),
        lambda s: Not(Or(s.ran_twice, s.false_not_run)),
    )


def _common_actions(s):
    ticked = evolve(
        s,
        since_claim=increment(s.since_claim, MEMORY_TICKS),
        newcomer_since_claim=increment(s.newcomer_since_claim, MEMORY_TICKS),
        since_run=increment(s.since_run, MEMORY_TICKS),
        reading_ticks=If(
            s.newcomer_started,
            increment(s.reading_ticks, MEMORY_TICKS),
            s.reading_ticks,
        ),
        time_left=tuple(decrement(item) for item in s.time_left),
    )
    return [
        Action("tick", True, ticked),
        Action(
            "newcomer starts", Not(s.newcomer_started), evolve(s, newcomer_started=True)
        ),
    ]


def _request_actions(rules, s, r):
    pending = s.status[r] == PENDING
    live = And(s.status[r] != IDLE, s.status[r] != DEAD)
    ready = (
        s.reading_ticks == MEMORY_TICKS if rules.newcomer_waits else s.newcomer_started
    )
    may_give_up = pending if rules.not_run_only_if_unsent else live
    release_claim = s.won[r] if rules.release_only_winner else s.claim[r]
    arrived = evolve(
        s,
        status=set_item(s.status, r, PENDING),
        time_left=set_item(s.time_left, r, DEADLINE_TICKS),
    )
    given_up = evolve(
        s,
        status=set_item(s.status, r, NOT_RUN),
        false_not_run=Or(s.false_not_run, s.status[r] == RUN),
    )
    return [
        Action(
            f"claim {r}",
            And(s.status[r] == IDLE, ready if r == NEWCOMER else True),
            arrived,
        ),
        Action(f"KeyClaimed {r}", s.status[r] != IDLE, _claimed(rules, s, r)),
        Action(f"dispatch {r}", _may_dispatch(rules, s, r), _dispatch(s, r)),
        Action(f"report not run {r}", may_give_up, given_up),
        Action(
            f"release {r}",
            And(s.status[r] == NOT_RUN, release_claim > 0),
            evolve(s, release=set_item(s.release, r, release_claim)),
        ),
        Action(f"KeyReleased {r}", s.release[r] > 0, _released(rules, s, r)),
        Action(f"die {r}", live, evolve(s, status=set_item(s.status, r, DEAD))),
    ]


def _claimed(rules, s, r):
    offset = s.tail + 1
    free = Or(s.holder == 0, s.since_claim >= MEMORY_TICKS)
    newcomer_free = And(
        s.newcomer_started,
        Or(s.newcomer_holder == 0, s.newcomer_since_claim >= MEMORY_TICKS),
    )
    wins = newcomer_free if r == NEWCOMER else free
    refused_counts = rules.refused_claims_count
    won = If(wins, offset, s.won[r] if rules.owner_names_entry else s.holder)
    return evolve(
        s,
        tail=offset,
        holder=If(free, offset, s.holder),
        since_claim=If(Or(free, refused_counts), s.since_claim * 0, s.since_claim),
        newcomer_holder=If(newcomer_free, offset, s.newcomer_holder),
        newcomer_since_claim=If(
            Or(newcomer_free, refused_counts), s.since_claim * 0, s.newcomer_since_claim
        ),
        claim=set_item(s.claim, r, offset),
        won=set_item(s.won, r, won),
    )


def _may_dispatch(rules, s, r):
    pending = s.status[r] == PENDING
    live = Or(pending, s.status[r] == NOT_RUN)
    return And(
        pending if rules.dispatch_only_pending else live,
        s.won[r] > 0 if rules.dispatch_after_read_back else True,
        s.time_left[r] > 0 if rules.dispatch_within_deadline else True,
    )


def _dispatch(s, r):
    return evolve(
        s,
        status=set_item(s.status, r, RUN),
        since_run=0,
        ran_twice=Or(s.ran_twice, s.since_run < MEMORY_TICKS - DEADLINE_TICKS),
        false_not_run=Or(s.false_not_run, s.status[r] == NOT_RUN),
    )


def _released(rules, s, r):
    any_claim = not rules.release_names_claim
    held = Or(any_claim, s.holder == s.release[r])
    newcomer_held = Or(any_claim, s.newcomer_holder == s.release[r])
    return evolve(
        s,
        holder=If(held, s.since_claim * 0, s.holder),
        newcomer_holder=If(newcomer_held, s.since_claim * 0, s.newcomer_holder),
    )
