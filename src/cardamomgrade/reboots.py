"""Reboot calls to the platform under the orders of one control.

The platform refuses a fence that is not higher than the last, and an order is called
only while it is the last one of a VM that the log shows as rebooting.
"""

from functools import partial

import attrs

from .decisions import RebootAnswered, RebootCalled, RebootWithheld
from .journal import note
from .refusal import Reason, Refusal
from .watch import PHASE_REBOOTING

CALL_RETRY_S = 1.0
OUTCOME_TAKEN = "taken"


@attrs.define
class _Order:
    """A reboot order of this control and when it last called the platform."""

    fence: int
    called_s: float = -CALL_RETRY_S
    called: bool = False
    withheld: bool = False


class Reboots:
    """The orders of the control ``name``; ``now()`` is monotonic seconds."""

    def __init__(self, name, estate, now):
        self._name = name
        self._estate = estate
        self._now = now
        self._orders = {}

    def ordered(self, record, offset):
        """Take an accepted RebootOrdered; those of other controls end a right."""
        self._orders.pop(record.vm, None)
        if record.control == self._name:
            self._orders[record.vm] = _Order(offset)

    def call(self, state):
        """Call the platform for each order that is due; return how many were.

        The caller has just made sure that ``state`` is fresh.
        """
        now = self._now()
        due = []
        for vm, order in list(self._orders.items()):
            if not _right_holds(state, vm, order):
                del self._orders[vm]
            elif not order.called and now - order.called_s >= CALL_RETRY_S:
                due.append((vm, order))
        for vm, order in due:
            self._call(vm, order, now)
        return len(due)

    def _call(self, vm, order, now):
        order.called = True
        order.called_s = now
        note(RebootCalled(vm, order.fence))
        self._estate.reboot(vm, order.fence, partial(self._answered, vm, order))

    def _answered(self, vm, order, result):
        outcome = str(result) if isinstance(result, Refusal) else OUTCOME_TAKEN
        note(RebootAnswered(vm, order.fence, outcome))
        if isinstance(result, Refusal) and result.reason is Reason.UNAVAILABLE:
            order.called = False

    def withhold(self):
        """Note the orders that wait since the control is not fresh."""
        for vm, order in self._orders.items():
            if not order.called and not order.withheld:
                order.withheld = True
                note(RebootWithheld(vm, order.fence))


def _right_holds(state, vm, order):
    """Return whether an order is the last one of a VM that is to reboot."""
    item = state.vms.get(vm)
    if item is None or item.phase != PHASE_REBOOTING:
        return False
    return item.fence == order.fence
