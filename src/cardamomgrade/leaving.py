"""VMs that the platform's VM list shows as leaving, polled by an entry."""

from .estate import PlatformClient

POLL_INTERVAL_S = 1.0
LIST_LIFETIME_S = 5.0
LEAVING_STATES = frozenset(("leaving", "rebooting"))


class LeavingVms:
    """Set of the leaving VMs, from polls of the platform's VM list.

    It is empty once the last list is older than LIST_LIFETIME_S.
    """

    def __init__(self, loop, net, address):
        self._loop = loop
        self._platform = PlatformClient(loop, net, address)
        self._leaving = frozenset()
        self._listed_at = 0.0

    def start(self):
        """Poll now and then every POLL_INTERVAL_S seconds."""
        self._poll()
        self._loop.call_every(POLL_INTERVAL_S, self._poll)

    def __contains__(self, vm):
        """Return whether the last list, if it is recent, shows a VM as leaving."""
        if vm not in self._leaving:
            return False
        return self._loop.now() - self._listed_at < LIST_LIFETIME_S

    def _poll(self):
        sent = self._loop.now()
        self._platform.list_vms(lambda listed: self._on_list(listed, sent))

    def _on_list(self, listed, sent):
        if not listed and not isinstance(listed, dict):
            return
        self._listed_at = sent
        self._leaving = frozenset(
            vm.vm for vm in listed.values() if vm.state in LEAVING_STATES
        )
