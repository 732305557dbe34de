"""Summaries of customers for operators, computed from a JobView and a QueueConfig.

Load pattern: customers compete for too little capacity, and operators need to see who
uses how much of its limit and its share, and who waits.
"""

import attrs

from .customers import Limits
from .records import JobState, Phase

RATE_WINDOW_MS = 5000  # long enough to smooth jobs that arrive at once
MS = 1000


@attrs.frozen
class CustomerSummary:
    """One customer with its share, its limit, what it uses and its jobs.

    ``accepted_per_s`` is in jobs a second, the mean of the last RATE_WINDOW_MS;
    ``over_share`` is whether its part of all accepted jobs is larger than that of its
    ``weight`` in all weights. Limits of 0 are no limit; ``at_limit`` names the
    resources of which a limit is used up. ``configured`` is false for a customer that
    the configuration does not have any more but whose jobs are not over.
    """

    customer: str
    configured: bool
    weight: float
    accepted_per_s: float
    over_share: bool
    limits: Limits
    running: Limits
    at_limit: list
    jobs_waiting: int
    jobs_running: int
    jobs_done: int


@attrs.frozen
class CustomersView:
    """All CustomerSummaries; ``has_customers`` is false where no key is asked for."""

    config_version: int
    has_customers: bool
    customers: list


def _placed(row):
    """Yield the step of each task that has a run, also of one that is being stopped."""
    if row.progress is None:
        return
    steps = row.spec.steps
    for item in row.progress.tasks:
        if item.phase == Phase.PLACED and 0 <= item.step < len(steps):
            yield steps[item.step]


def _running(rows):
    """Return what the runs of some JobRows use; fill tasks count with their cores."""
    steps = [step for row in rows for step in _placed(row)]
    return Limits(
        sum(step.cores_m for step in steps),
        sum(step.memory_mb for step in steps),
        sum(step.accelerators for step in steps),
    )


def _at_limit(limits, running):
    names = [field.name for field in attrs.fields(Limits)]
    return [
        name for name in names if 0 < getattr(limits, name) <= getattr(running, name)
    ]


def _summarize(name, customer, rows, now_ms):
    limits = customer.limits if customer is not None else Limits()
    weight = customer.weight if customer is not None else 0.0
    running = _running(rows)
    recent = sum(now_ms - RATE_WINDOW_MS < row.spec.accepted_ms for row in rows)
    states = [row.state for row in rows]
    accepted_per_s = recent / (RATE_WINDOW_MS / MS)
    return CustomerSummary(
        name,
        customer is not None,
        weight,
        accepted_per_s,
        False,
        limits,
        running,
        _at_limit(limits, running),
        states.count(JobState.PENDING),
        states.count(JobState.RUNNING),
        sum(state.final for state in states),
    )


def customer_summaries(view, config, now_ms):
    """Return the CustomersView of the jobs in a JobView.

    ``now_ms`` is the wall clock. Customers are in the order of the configuration; those
    that it does not have come last, and only while they have jobs that are not over.
    """
    rows_by_name = {}
    for row in view.rows.values():
        if row.spec is not None and row.spec.customer:
            rows_by_name.setdefault(row.spec.customer, []).append(row)
    names = list(dict.fromkeys(item.name for item in config.customers or ()))
    removed = sorted(
        name
        for name, rows in rows_by_name.items()
        if config.customer(name) is None and not all(row.state.final for row in rows)
    )
    summaries = [
        _summarize(name, config.customer(name), rows_by_name.get(name, ()), now_ms)
        for name in names + removed
    ]
    return CustomersView(
        config.version, config.customers is not None, _compare_shares(summaries)
    )


def _compare_shares(summaries):
    """Return the CustomerSummaries with ``over_share`` set."""
    accepted = sum(item.accepted_per_s for item in summaries)
    weights = sum(item.weight for item in summaries)
    return [
        attrs.evolve(
            item, over_share=item.accepted_per_s * weights > item.weight * accepted
        )
        for item in summaries
    ]
