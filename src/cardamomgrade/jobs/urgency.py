"""In which order jobs get room; pure.

Load pattern: for some seconds a queue asks for more than its pool can do in time. In
order of arrival every job would then be late. Work goes first to jobs that can still
meet their objective, jobs that have begun before new ones; a late job gets what these
leave, the least work first, since that helps most callers soonest.
"""

from enum import IntEnum, unique

import attrs

LATE_FACTOR = 3.0  # of the objective: the callers' bound beyond which nobody waits
MARGIN_SHARE = 0.15  # of the expected time: runs of like tasks differ by that much


@unique
class Rank(IntEnum):
    """Groups of jobs, the first first."""

    LASTING = 0
    BEGUN = 1
    IN_TIME = 2
    LATE = 3
    HOPELESS = 4


@attrs.frozen
class Outlook:
    """What is expected of one job; times in ms, ``work`` in core-ms."""

    age_ms: float
    left_ms: float
    objective_ms: float
    work: float
    begun: bool
    lasting: bool


def rank_of(outlook):
    """Return the Rank of a job."""
    if outlook.lasting:
        return Rank.LASTING
    ready_ms = outlook.age_ms + outlook.left_ms
    if ready_ms > outlook.objective_ms * LATE_FACTOR:
        return Rank.HOPELESS
    if outlook.begun and ready_ms <= outlook.objective_ms:
        return Rank.BEGUN
    margin_ms = outlook.left_ms * MARGIN_SHARE
    if ready_ms + margin_ms <= outlook.objective_ms:
        return Rank.IN_TIME
    return Rank.LATE


def order_key(outlook, priority, arrival):
    """Return the key by which jobs of one pool are sorted; ``arrival`` breaks ties."""
    rank = rank_of(outlook)
    late = rank in (Rank.LATE, Rank.HOPELESS)
    return (rank, priority, outlook.work if late else 0.0, arrival)
