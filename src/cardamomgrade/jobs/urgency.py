"""Order in which the jobs of a pool get capacity; pure functions.

Load pattern: for some seconds a queue submits more than its pool can finish in time.
First-come, first-served would then make every job late. Jobs that can still meet their
objective come first, started ones before new ones. Late jobs get the capacity left
over, the least work first, since that completes the most jobs soonest. Where customers
have shares, jobs beyond a customer's share come after those, and jobs of the same rank
in the order of fair queueing (see ``fairness``). There, late jobs whose callers will
soon stop waiting come before those that can be in time: late is better than never.
"""

import math
from enum import IntEnum, unique

import attrs

HOPELESS_FACTOR = 3.0  # times the objective; callers do not wait longer
DURATION_MARGIN = 0.15  # run times of similar tasks vary by this fraction
LAST_CHANCE_FRACTION = 0.5  # of the objective, before callers stop waiting
AT_RISK_FRACTION = 0.5  # of the time that a job may wait; tasks start one by one


@unique
class Rank(IntEnum):
    """Classes of jobs, in the order in which they get capacity."""

    LASTING = 0
    BEGUN = 1
    LAST_CHANCE = 2
    IN_TIME = 3
    AT_RISK = 4
    LATE = 5
    EXCESS = 6
    HOPELESS = 7


@attrs.frozen
class Forecast:
    """Expected course of one job.

    ``age_ms`` is the time since the job was accepted, ``remaining_ms`` the expected run
    time of its unfinished critical path, ``objective_ms`` the time from acceptance in
    which it is to complete, and ``core_ms`` the core time of its unfinished tasks.
    Where customers have ``shares``, ``excess`` jobs are beyond their customer's, and
    ``tag`` is the start tag in fair queueing.
    """

    age_ms: float
    remaining_ms: float
    objective_ms: float
    core_ms: float
    begun: bool
    lasting: bool
    shares: bool = False
    excess: bool = False
    tag: float = 0.0


def rank_of(forecast):
    """Return the Rank of a job."""
    if forecast.lasting:
        return Rank.LASTING
    ready_ms = forecast.age_ms + forecast.remaining_ms
    if ready_ms > forecast.objective_ms * HOPELESS_FACTOR:
        return Rank.HOPELESS
    if forecast.excess:
        return Rank.EXCESS
    if forecast.begun and ready_ms <= forecast.objective_ms:
        return Rank.BEGUN
    margin_ms = forecast.remaining_ms * DURATION_MARGIN
    if ready_ms + margin_ms > forecast.objective_ms:
        is_last = forecast.shares and forecast.age_ms > _last_chance_age_ms(forecast)
        return Rank.LAST_CHANCE if is_last else Rank.LATE
    if forecast.shares and forecast.age_ms > _risk_starts_at_age_ms(forecast):
        return Rank.AT_RISK
    return Rank.IN_TIME


def _last_chance_age_ms(forecast):
    limit = HOPELESS_FACTOR - LAST_CHANCE_FRACTION
    return forecast.objective_ms * limit - forecast.remaining_ms


def _risk_starts_at_age_ms(forecast):
    slack_ms = forecast.objective_ms - forecast.remaining_ms
    return max(0.0, slack_ms) * AT_RISK_FRACTION


def rank_ends_at_age_ms(forecast):
    """Return the age of a job, in ms, up to which its Rank holds if nothing changes."""
    rank = rank_of(forecast)
    if rank in (Rank.LASTING, Rank.HOPELESS):
        return math.inf
    if rank is Rank.LATE and forecast.shares:
        return _last_chance_age_ms(forecast)
    if rank in (Rank.LAST_CHANCE, Rank.LATE, Rank.EXCESS):
        return forecast.objective_ms * HOPELESS_FACTOR - forecast.remaining_ms
    if rank is Rank.IN_TIME and forecast.shares:
        return _risk_starts_at_age_ms(forecast)
    margin_ms = 0 if rank is Rank.BEGUN else forecast.remaining_ms * DURATION_MARGIN
    return forecast.objective_ms - forecast.remaining_ms - margin_ms


def order_key(forecast, priority, arrival):
    """Return the sort key of a job within its pool; ``arrival`` breaks ties."""
    rank = rank_of(forecast)
    late = rank in (Rank.LAST_CHANCE, Rank.LATE, Rank.EXCESS, Rank.HOPELESS)
    return (rank, priority, forecast.core_ms if late else forecast.tag, arrival)
