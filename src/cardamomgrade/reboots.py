"""Calls the platform to reboot VMs, as ordered by one control.

The fence of a call is the offset of its order on the log. The platform refuses a fence
that is not higher than the last one of this VM. The control calls only for the latest
order of a VM, and only while the log shows this VM as rebooting.
"""

from functools import partial

import attrs

from .decisions import RebootAnswered, RebootCalled, RebootWithheld
from .journal import log_event
from .refusal import Reason, Refusal
from .watch import PHASE_REBOOTING

CALL_RETRY_S = 1.0
OUTCOME_TAKEN = "taken"


@attrs.define
class _Order:
    """A reboot order of this control.

    ``called`` is whether a call is in progress or was answered by the platform,
    ``last_call_s`` the time of the last call in monotonic seconds.
    """

    fence: int
    last_call_s: float = -CALL_RETRY_S
    called: bool = False
    withheld_logged: bool = False


class RebootCaller:
    """Makes the reboot calls of the control ``name``.

    ``now()`` returns monotonic seconds.
    """

    def __init__(self, name, platform, now):
        self._name = name
        self._platform = platform
        self._now = now
        self._orders = {}

    def add_order(self, record, offset):
        """Add an accepted RebootOrdered with its offset.

        It replaces an earlier order for this VM, also if it is another control's.
        """
        self._orders.pop(record.vm, None)
        if record.control == self._name:
            self._orders[record.vm] = _Order(offset)

    def call_due(self, state):
        """Call the platform for each order that is due; return the number of calls.

        The caller has to check just before that ``state`` is fresh.
        """
        now = self._now()
        due = []
        for vm, order in list(self._orders.items()):
            if not _is_latest(state, vm, order):
                del self._orders[vm]
            elif not order.called and now - order.last_call_s >= CALL_RETRY_S:
                due.append((vm, order))
        for vm, order in due:
            self._call(vm, order, now)
        return len(due)

    def _call(self, vm, order, now):
        order.called = True
        order.last_call_s = now
        log_event(RebootCalled(vm, order.fence))
        self._platform.reboot(vm, order.fence, partial(self._on_answered, vm, order))

    def _on_answered(self, vm, order, result):
        outcome = str(result) if isinstance(result, Refusal) else OUTCOME_TAKEN
        log_event(RebootAnswered(vm, order.fence, outcome))
        if isinstance(result, Refusal) and result.reason is Reason.UNAVAILABLE:
            order.called = False

    def log_withheld(self):
        """Log each order not called yet, once, as the control is not fresh."""
        for vm, order in self._orders.items():
            if not order.called and not order.withheld_logged:
                order.withheld_logged = True
                log_event(RebootWithheld(vm, order.fence))


def _is_latest(state, vm, order):
    """Return whether an order is the latest of a VM that is rebooting."""
    item = state.vms.get(vm)
    if item is None or item.phase != PHASE_REBOOTING:
        return False
    return item.fence == order.fence
