"""Compares successive VM lists of the platform with the folded state.

Times are seconds of one monotonic clock.
"""

import attrs

from .records import MemberGone, RebootOrdered, VmFailed, VmJoined, VmRecovered

CONFIRMING_POLLS = 2
GONE_S = 10.0
REORDER_S = 10.0
PHASE_REBOOTING = "rebooting"
STATE_LIVE = "live"
STATE_FAILED = "failed"
KIND_ENTRY = "entry"


@attrs.define
class _Sight:
    """For how many polls a VM has looked the same, and since when."""

    state: str
    polls: int
    since: float


@attrs.define
class _Order:
    """When the last reboot order of a VM was first seen."""

    fence: int
    since: float


class Watch:
    """Turns what the VM lists show into records that the log does not hold yet."""

    def __init__(self, control):
        self._control = control
        self._listed = {}
        self._sights = {}
        self._entries = set()
        self._missing_since = {}
        self._orders = {}

    @property
    def listed(self):
        """The last list, ListedVm by name."""
        return self._listed

    def take(self, listed, now):
        """Take a new list: a dict of ListedVm by name."""
        self._listed = listed
        for name in self._sights.keys() - listed.keys():
            self._sight(name, STATE_FAILED, now)
        for name, item in listed.items():
            state = STATE_FAILED if item.state == STATE_FAILED else STATE_LIVE
            self._sight(name, state, now)
            if item.kind == KIND_ENTRY:
                self._entries.add(name)
        self._missing_since = {
            name: self._missing_since.get(name, now)
            for name in self._entries - listed.keys()
        }

    def _sight(self, name, state, now):
        sight = self._sights.get(name)
        if sight is None or sight.state != state:
            self._sights[name] = _Sight(state, 1, now)
        else:
            sight.polls += 1

    def records(self, state, now):
        """Return the records that the lists call for, given the folded state."""
        found = []
        for name, vm in state.vms.items():
            if vm.phase == PHASE_REBOOTING:
                found += self._reboot_records(vm, now)
            found += self._failure_records(name, vm)
        for name, member in state.members.items():
            found += self._member_records(name, member, now)
        return found

    def _reboot_records(self, vm, now):
        order = self._orders.get(vm.name)
        if order is None or order.fence != vm.fence:
            order = self._orders[vm.name] = _Order(vm.fence, now)
        item = self._listed.get(vm.name)
        if item is None:
            return []
        if item.fence == vm.fence and item.state == STATE_LIVE:
            return [VmJoined(vm.batch, vm.name, vm.fence, self._control)]
        if item.fence < vm.fence and now - order.since >= REORDER_S:
            return [RebootOrdered(vm.batch, vm.name, self._control)]
        return []

    def _failure_records(self, name, vm):
        sight = self._sights.get(name)
        if sight is None or sight.polls < CONFIRMING_POLLS:
            return []
        if sight.state == STATE_FAILED and not vm.failed:
            return [VmFailed(name, self._control)]
        if sight.state == STATE_LIVE and vm.failed and self._is_live(name):
            return [VmRecovered(name, self._control)]
        return []

    def _is_live(self, name):
        item = self._listed.get(name)
        return item is not None and item.state == STATE_LIVE

    def _member_records(self, name, member, now):
        """Return MemberGone of an entry whose VM is listed no more.

        An entry that is listed as failed may be frozen: it could wake and send, so
        that it stays in the barrier.
        """
        since = self._missing_since.get(name)
        if since is None or now - since < GONE_S:
            return []
        return [MemberGone(name, member.incarnation, self._control)]
