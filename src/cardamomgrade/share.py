"""A fixed share of each endpoint's slots, for entries that do not exchange them."""


class FixedShare:
    """Grants an equal share of the slots of each endpoint to every seat."""

    def __init__(self):
        self._shares = {}
        self._taken = {}

    def configure(self, endpoints, seats, longest_deadline_s):
        """Take the slots of a bundle, a dict of counts by endpoint."""
        self._shares = {
            name: max(1, slots // len(seats)) for name, slots in endpoints.items()
        }

    def available(self, endpoint):
        """Return how many more requests may be sent to an endpoint."""
        return self._shares.get(endpoint, 0) - self._taken.get(endpoint, 0)

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
        """Take note of lacking slots; a fixed share does not grow."""
