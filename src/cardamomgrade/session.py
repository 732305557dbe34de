"""An operator's session with the log service and with operators' addresses."""

import json

from .errors import FeedError, PeerError
from .explain import History
from .follower import Follower
from .loop import Loop
from .net import Net
from .ops import OpsClient
from .refusal import Reason, Refusal
from .replica import Step
from .wire import HttpResponse

CATCH_UP_S = 8.0
VERDICT_S = 15.0
OPS_TIMEOUT_S = 3.0


class LogSession:
    """The fleet as the log tells it, on a loop that runs only while it is asked."""

    def __init__(self, address):
        self._loop = Loop()
        self.history = History()
        net = Net(self._loop)
        self._follower = Follower(self._loop, net, address, self._on_results)

    def _on_results(self, results):
        for item in results:
            if isinstance(item, Step):
                self.history.add(item)

    @property
    def state(self):
        """The FleetState folded so far."""
        return self._follower.state

    def catch_up(self):
        """Fold the log up to its tail; raise FeedError when it does not answer."""
        self._follower.start()
        if self._loop.run_until(self._follower.fresh, CATCH_UP_S):
            return
        if self._follower.replica.waiting:
            raise FeedError("the log holds no snapshot to start from")
        raise FeedError("the log does not answer")

    def submit(self, record):
        """Append a record; return the fold's Refusal, or the Step read back.

        A Refusal with ``Reason.UNAVAILABLE`` or ``UNKNOWN`` is about the append.
        """
        verdicts = []
        self._follower.submit(record, verdicts.append)
        if not self._loop.run_until(lambda: bool(verdicts), VERDICT_S):
            return Refusal(Reason.UNKNOWN, "not read back in time")
        return verdicts[0]


def ask_ops(addresses, key, target):
    """Return [(address, value)] of a page at several operators' addresses.

    A value is the page's data, or a PeerError that tells why there is none.
    """
    loop = Loop()
    net = Net(loop)
    answers = {}
    for address in addresses:
        client = OpsClient(loop, net, address, key)
        client.get(
            target,
            lambda result, who=address: answers.update({who: result}),
            OPS_TIMEOUT_S,
        )
    loop.run_until(lambda: len(answers) == len(set(addresses)), 2 * OPS_TIMEOUT_S)
    return [(item, _page(answers.get(item))) for item in addresses]


def _page(result):
    if isinstance(result, PeerError):
        return result
    if not isinstance(result, HttpResponse):
        return PeerError(result.detail if result is not None else "no answer")
    try:
        data = json.loads(result.body)
    except ValueError:
        return PeerError(f"answered {result.status} without JSON")
    if result.status != 200:
        return PeerError(f"answered {result.status}: {data.get('detail', '')}")
    return data
