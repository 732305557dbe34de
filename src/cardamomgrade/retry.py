"""Rules for sending a request to another endpoint: methods, timeout, rate limit."""

import attrs

from .refusal import Reason, Refusal

IDEMPOTENT_METHODS = frozenset(("GET", "HEAD", "PUT", "DELETE", "OPTIONS", "TRACE"))
RETRIES_PER_REQUEST = 0.1
RETRY_MAX_TOKENS = 10.0
RETRY_INITIAL_TOKENS = 1.0
MAX_ATTEMPTS = 3
SLOW_ATTEMPT_FACTOR = 8
RETRY_STATUS = frozenset((500, 502, 503, 504))


def may_repeat(policy, method):
    """Return whether ``method`` may be sent twice under a service's policy."""
    if policy == "all":
        return True
    return policy == "safe" and method in IDEMPOTENT_METHODS


def attempt_timeout_s(remaining_s, typical_s):
    """Return the seconds after which a repeatable request tries another endpoint.

    Half of the remaining time is kept for the other endpoint. The timeout is at least
    SLOW_ATTEMPT_FACTOR times the typical time of a request, since a shorter wait is
    no sign of a fault, and at most the remaining time.
    """
    return min(remaining_s, max(remaining_s / 2, SLOW_ATTEMPT_FACTOR * typical_s))


@attrs.define
class RetryAllowance:
    """Token bucket that limits the retries of a service to a fraction of its requests.

    Each request adds RETRIES_PER_REQUEST tokens, up to RETRY_MAX_TOKENS; a retry
    takes one.
    """

    _tokens: float = RETRY_INITIAL_TOKENS

    def count_request(self):
        """Add the tokens of a request that is sent for the first time."""
        self._tokens = min(RETRY_MAX_TOKENS, self._tokens + RETRIES_PER_REQUEST)

    def take_retry(self):
        """Take one token and return True, or return a Refusal when there is none."""
        if self._tokens < 1.0:
            return Refusal(Reason.OVERLOADED, "retry allowance is used up")
        self._tokens -= 1.0
        return True
