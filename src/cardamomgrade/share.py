"""A fixed share of each endpoint's slots, for entries that do not share them."""


class FixedShare:
    """Grants up to a fixed number of slots of each endpoint."""

    def __init__(self):
        self._limits = {}
        self._taken = {}

    def update(self, limits):
        """Set the share of each endpoint, a dict of counts by VM."""
        self._limits = limits

    def available(self, endpoint):
        """Return how many more requests may be sent to an endpoint."""
        return self._limits.get(endpoint, 0) - self._taken.get(endpoint, 0)

    def take(self, endpoint):
        """Take a slot; return whether there was one."""
        if self.available(endpoint) <= 0:
            return False
        self._taken[endpoint] = self._taken.get(endpoint, 0) + 1
        return True

    def give_back(self, endpoint):
        """Return a slot that was taken."""
        self._taken[endpoint] -= 1
        if not self._taken[endpoint]:
            del self._taken[endpoint]
