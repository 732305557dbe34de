"""Compares the platform's successive VM lists with the folded fleet state.

All times are seconds of one monotonic clock.
"""

import attrs

from .records import MemberGone, RebootOrdered, VmFailed, VmJoined, VmRecovered

CONFIRM_POLLS = 2
MEMBER_GONE_AFTER_S = 10.0
REBOOT_REORDER_AFTER_S = 10.0
PHASE_REBOOTING = "rebooting"
STATE_LIVE = "live"
STATE_FAILED = "failed"
KIND_ENTRY = "entry"


@attrs.define
class _Observation:
    """A VM's state in the last ``polls`` lists, the first of them at ``since``."""

    state: str
    polls: int
    since: float


@attrs.define
class _RebootOrder:
    """The fence of a VM's last reboot order, and when it was first seen."""

    fence: int
    since: float


class VmWatch:
    """Derives records from the VM lists that the log does not contain yet.

    ``control`` is the name of the control that appends them.
    """

    def __init__(self, control):
        self._control = control
        self._listed = {}
        self._observations = {}
        self._entries = set()
        self._missing_since = {}
        self._orders = {}

    @property
    def listed(self):
        """The last list as {name: ListedVm}."""
        return self._listed

    def update(self, listed, now):
        """Update the observations from a new list, {name: ListedVm}."""
        self._listed = listed
        for name in self._observations.keys() - listed.keys():
            self._observe(name, STATE_FAILED, now)
        for name, item in listed.items():
            state = STATE_FAILED if item.state == STATE_FAILED else STATE_LIVE
            self._observe(name, state, now)
            if item.kind == KIND_ENTRY:
                self._entries.add(name)
        self._missing_since = {
            name: self._missing_since.get(name, now)
            for name in self._entries - listed.keys()
        }

    def _observe(self, name, state, now):
        observation = self._observations.get(name)
        if observation is None or observation.state != state:
            self._observations[name] = _Observation(state, 1, now)
        else:
            observation.polls += 1

    def records(self, state, now):
        """Return the records that should follow ``state`` according to the lists."""
        due_records = []
        for name, vm in state.vms.items():
            if vm.phase == PHASE_REBOOTING:
                due_records += self._reboot_records(vm, now)
            due_records += self._failure_records(name, vm)
        for name, member in state.members.items():
            due_records += self._member_records(name, member, now)
        return due_records

    def _reboot_records(self, vm, now):
        order = self._orders.get(vm.name)
        if order is None or order.fence != vm.fence:
            order = self._orders[vm.name] = _RebootOrder(vm.fence, now)
        item = self._listed.get(vm.name)
        if item is None:
            return []
        if item.fence == vm.fence and item.state == STATE_LIVE:
            return [VmJoined(vm.batch, vm.name, vm.fence, self._control)]
        if item.fence < vm.fence and now - order.since >= REBOOT_REORDER_AFTER_S:
            return [RebootOrdered(vm.batch, vm.name, self._control)]
        return []

    def _failure_records(self, name, vm):
        observation = self._observations.get(name)
        if observation is None or observation.polls < CONFIRM_POLLS:
            return []
        if observation.state == STATE_FAILED and not vm.failed:
            return [VmFailed(name, self._control)]
        if observation.state == STATE_LIVE and vm.failed and self._is_listed_live(name):
            return [VmRecovered(name, self._control)]
        return []

    def _is_listed_live(self, name):
        item = self._listed.get(name)
        return item is not None and item.state == STATE_LIVE

    def _member_records(self, name, member, now):
        """Return MemberGone for an entry whose VM has been missing from the lists.

        It must have been missing for MEMBER_GONE_AFTER_S. An entry that is listed as
        failed may only be frozen and could resume sending requests, so it stays a
        member whose acknowledgement is required.
        """
        since = self._missing_since.get(name)
        if since is None or now - since < MEMBER_GONE_AFTER_S:
            return []
        return [MemberGone(name, member.incarnation, self._control)]
