"""Fixed slot quotas, for entries that exchange no slots with peers."""


class FixedQuota:
    """Ledger that divides the slots of each endpoint equally among the seats."""

    def __init__(self):
        self._quotas = {}
        self._taken = {}

    def configure(self, endpoints, seats, longest_deadline_s):
        """Set the quotas from a bundle; ``endpoints`` is {name: number of slots}.

        Each seat has at least one slot of each endpoint.
        """
        self._quotas = {
            name: max(1, slots // len(seats)) for name, slots in endpoints.items()
        }

    def available(self, endpoint):
        """Return how many more requests may be sent to an endpoint."""
        return self._quotas.get(endpoint, 0) - self._taken.get(endpoint, 0)

    def take(self, endpoint):
        """Take a slot; return whether there was one."""
        if self.available(endpoint) <= 0:
            return False
        self._taken[endpoint] = self._taken.get(endpoint, 0) + 1
        return True

    def give_back(self, endpoint):
        """Return a slot that was taken."""
        self._taken[endpoint] -= 1

    def want(self, endpoints, count):
        """Ignore a request for more slots: a quota does not grow."""
