"""Decides which new jobs are turned away; pure functions.

Load pattern: for seconds a queue submits more than all VMs can finish before its
callers stop waiting. A job that would only be completed after that is refused at once,
with the time after which it could be in time again, instead of holding room until it is
useless. Jobs that are merely late are accepted: they get the room that others leave.

A job beyond its customer's share gets only room that nobody else wants, so that it is
refused by the wait for all work if it could not be in time, and told to return when its
customer has a share again. Jobs within a share are not refused because of it.
"""

import math
import zlib

from .spec import longest_chain_ms
from .urgency import HOPELESS_FACTOR

LOAD_MAX_AGE_MS = 2000  # the scheduler publishes the load every 0.4 s while jobs wait
RETRY_MIN_S = 1
RETRY_SPREAD = 0.5  # of the wait, so that refused callers do not return together
MS = 1000


def retry_after_s(call, queue, durations, load, wall_ms, share_wait_ms=0.0):
    """Return when a refused JobCall should return, in seconds; 0 to accept it.

    ``durations`` are the Durations learned so far and ``load`` a LoadRecord, or None.
    Without a recent load the job is accepted: what it would be refused by may be over.
    ``share_wait_ms`` is the time until the customer of the job has a share again.
    """
    if load is None or abs(wall_ms - load.at_ms) > LOAD_MAX_AGE_MS:
        return 0
    if call.repeat or any(step.lasting for step in call.steps):
        return 0
    wait_ms = dict(load.waits).get(queue.service, 0.0)
    run_ms = [
        durations.expected_ms(queue.name, step.estimate_ms) for step in call.steps
    ]
    chain_ms = longest_chain_ms(call.steps, run_ms)
    objective_ms = queue.stretch * chain_ms + queue.target_ms
    limit_ms = objective_ms if share_wait_ms else HOPELESS_FACTOR * objective_ms
    if wait_ms + chain_ms <= limit_ms:
        return 0
    excess_s = max(wait_ms + chain_ms - objective_ms, share_wait_ms) / MS
    # Repeated requests for the same job are told the same time.
    part = zlib.crc32(call.job.encode()) / 2**32
    return max(RETRY_MIN_S, math.ceil(excess_s * (1 + RETRY_SPREAD * part)))
