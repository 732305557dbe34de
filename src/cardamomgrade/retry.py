"""Whether, when and how often a request may be sent again."""

import attrs

from .refusal import Reason, Refusal

IDEMPOTENT_METHODS = frozenset(("GET", "HEAD", "PUT", "DELETE", "OPTIONS", "TRACE"))
RETRY_SHARE = 0.1
RETRY_BURST = 10.0
RETRY_START = 1.0
TRIES_LIMIT = 3
TYPICAL_FACTOR = 8
RETRY_STATUS = frozenset((500, 502, 503, 504))


def may_repeat(policy, method):
    """Return whether ``method`` is safe to send twice under a service's policy."""
    if policy == "all":
        return True
    return policy == "safe" and method in IDEMPOTENT_METHODS


def try_timeout_s(remaining_s, typical_s):
    """Return how long a repeatable request waits for its first endpoint.

    Half of the time left is kept for another endpoint, unless requests usually
    take so long that a slow one is no sign of a fault.
    """
    return min(remaining_s, max(remaining_s / 2, TYPICAL_FACTOR * typical_s))


@attrs.define
class RetryAllowance:
    """Token bucket that bounds the retries of a service to a share of its load."""

    _tokens: float = RETRY_START

    def earn(self):
        """Count a request that was sent for the first time."""
        self._tokens = min(RETRY_BURST, self._tokens + RETRY_SHARE)

    def spend(self):
        """Return True and take one retry, or a Refusal."""
        if self._tokens < 1.0:
            return Refusal(Reason.OVERLOADED, "retry allowance is used up")
        self._tokens -= 1.0
        return True
