"""The VMs that the platform's list shows as leaving, for an entry."""

from .estate import Estate

POLL_S = 1.0
LIST_LIFETIME_S = 5.0
LEAVING_STATES = frozenset(("leaving", "rebooting"))


class Departures:
    """Polls the platform's VM list; an old list says nothing."""

    def __init__(self, loop, net, address):
        self._loop = loop
        self._estate = Estate(loop, net, address)
        self._leaving = frozenset()
        self._listed_at = 0.0

    def start(self):
        """Begin to poll."""
        self._poll()
        self._loop.call_every(POLL_S, self._poll)

    def __contains__(self, vm):
        """Return whether the last list shows a VM as leaving."""
        if vm not in self._leaving:
            return False
        return self._loop.now() - self._listed_at < LIST_LIFETIME_S

    def _poll(self):
        sent = self._loop.now()
        self._estate.list_vms(lambda listed: self._listed(listed, sent))

    def _listed(self, listed, sent):
        if not listed and not isinstance(listed, dict):
            return
        self._listed_at = sent
        self._leaving = frozenset(
            vm.vm for vm in listed.values() if vm.state in LEAVING_STATES
        )
