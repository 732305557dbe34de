"""Decides which new jobs are turned away; pure functions.

Load pattern: for seconds a queue submits more than all VMs can finish before its
callers stop waiting. A job that would only be completed after that is refused at once,
with the time after which it could be in time again, instead of holding room until it is
useless. Jobs that are merely late are accepted: they get the room that others leave.

A customer's jobs also wait for its share. One that submits so much that its share takes
longer than its callers wait has its jobs refused, and no other customer has.
"""

import math
import zlib

from .spec import longest_chain_ms
from .urgency import HOPELESS_FACTOR

LOAD_MAX_AGE_MS = 2000  # the scheduler publishes the load every 0.4 s while jobs wait
RETRY_MIN_S = 1
RETRY_SPREAD = 0.5  # of the wait, so that refused callers do not return together
MS = 1000


def retry_after_s(call, queue, durations, load, share_load, wall_ms):
    """Return when a refused JobCall should return, in seconds; 0 to accept it.

    ``durations`` are the Durations learned so far, ``load`` a LoadRecord and
    ``share_load`` a ShareLoadRecord, each may be None. Without a recent load the job is
    accepted: what it would be refused by may be over.
    """
    if call.repeat or any(step.lasting for step in call.steps):
        return 0
    wait_ms = 0.0
    if _is_recent(load, wall_ms):
        wait_ms = dict(load.waits).get(queue.service, 0.0)
    if call.customer and _is_recent(share_load, wall_ms):
        names = queue.service, call.customer
        shares = {row[:2]: row[2] for row in share_load.waits}
        wait_ms = max(wait_ms, shares.get(names, 0.0))
    if not wait_ms:
        return 0
    run_ms = [
        durations.expected_ms(queue.name, step.estimate_ms) for step in call.steps
    ]
    chain_ms = longest_chain_ms(call.steps, run_ms)
    objective_ms = queue.stretch * chain_ms + queue.target_ms
    if wait_ms + chain_ms <= HOPELESS_FACTOR * objective_ms:
        return 0
    excess_s = (wait_ms + chain_ms - objective_ms) / MS
    # Repeated requests for the same job are told the same time.
    part = zlib.crc32(call.job.encode()) / 2**32
    return max(RETRY_MIN_S, math.ceil(excess_s * (1 + RETRY_SPREAD * part)))


def never_refused(call, queue, durations, load, share_load, wall_ms):
    """Return 0, which accepts the job."""
    return 0


def _is_recent(load, wall_ms):
    return load is not None and abs(wall_ms - load.at_ms) <= LOAD_MAX_AGE_MS
