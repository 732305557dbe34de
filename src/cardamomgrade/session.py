"""Clients that operators' commands use: of the log and of the programs' ops pages."""

import json

from .errors import FeedError, PeerError
from .explain import History
from .follower import Follower
from .loop import Loop
from .net import Net
from .ops import OpsClient
from .refusal import Reason, Refusal
from .replica import FoldedRecord
from .wire import HttpResponse

CATCH_UP_TIMEOUT_S = 8.0
SUBMIT_TIMEOUT_S = 15.0
OPS_TIMEOUT_S = 3.0


class LogSession:
    """Fleet state read from the log.

    The loop runs only during ``catch_up`` and ``submit``.
    """

    def __init__(self, address):
        self._loop = Loop()
        self.history = History()
        net = Net(self._loop)
        self._follower = Follower(self._loop, net, address, self._on_results)

    def _on_results(self, results):
        for item in results:
            if isinstance(item, FoldedRecord):
                self.history.add(item)

    @property
    def state(self):
        """The FleetState folded so far."""
        return self._follower.state

    def catch_up(self):
        """Fold the log up to its tail.

        Raises FeedError if the log does not answer or holds no snapshot to start from.
        """
        self._follower.start()
        if self._loop.run_until(self._follower.fresh, CATCH_UP_TIMEOUT_S):
            return
        if self._follower.replica.awaiting_snapshot:
            raise FeedError("the log holds no snapshot to start from")
        raise FeedError("the log does not answer")

    def submit(self, record):
        """Append a record; return the FoldedRecord, or a Refusal of the append.

        The Refusal has the reason ``UNAVAILABLE`` or ``UNKNOWN``. Whether the fold
        refused the record is in the ``refusal`` of the FoldedRecord.
        """
        outcomes = []
        self._follower.submit(record, outcomes.append)
        if not self._loop.run_until(lambda: bool(outcomes), SUBMIT_TIMEOUT_S):
            return Refusal(Reason.UNKNOWN, "not read back in time")
        return outcomes[0]


def fetch_ops_pages(addresses, key, target):
    """Fetch a page from several ops addresses; return [(address, value)].

    A value is the data of the JSON page, or a PeerError with the reason of the failure.
    """
    loop = Loop()
    net = Net(loop)
    answers = {}
    for address in addresses:
        client = OpsClient(loop, net, address, key)
        client.get(
            target,
            lambda result, source=address: answers.update({source: result}),
            OPS_TIMEOUT_S,
        )
    loop.run_until(lambda: len(answers) == len(set(addresses)), 2 * OPS_TIMEOUT_S)
    return [(item, _parse_page(answers.get(item))) for item in addresses]


def _parse_page(result):
    if isinstance(result, PeerError):
        return result
    if not isinstance(result, HttpResponse):
        return PeerError(result.detail if result is not None else "no answer")
    try:
        data = json.loads(result.body)
    except ValueError:
        return PeerError(f"returned status {result.status} without JSON")
    if result.status != 200:
        return PeerError(f"returned status {result.status}: {data.get('detail', '')}")
    return data
