"""Operator access to the jobs topic: reads its records and stores single ones."""

from ..errors import FeedError, RecordError
from ..loop import Loop
from ..net import Net
from .follow import TopicFollower
from .store import Appended, AppendFate
from .view import JobView

LOAD_TIMEOUT_S = 8.0  # enough for a store 60 times slower than usual, page by page
APPEND_TIMEOUT_S = 2.0


class JobSession:
    """All jobs and the configuration in force, as read when the session is entered.

    A context manager that closes its connections at its end. ``view`` is a JobView,
    ``config`` the newest QueueConfig or None. ``config_error`` says why the newest
    record of the configuration cannot be read, or is "". The loop only runs during
    calls.
    """

    def __init__(self, cfg, make_platform):
        self._loop = Loop()
        self._platform = make_platform(self._loop, Net(self._loop), cfg)
        self.view = JobView()
        self.config = None
        self.config_error = ""
        self._jobs = TopicFollower(
            self._loop, self._platform.jobs_topic(), "jobs", self.view.fold
        )
        self._operator = TopicFollower(
            self._loop, self._platform.operator_topic(), "operator", self._on_operator
        )
        self._writer = self._platform.jobs_topic()

    def _on_operator(self, entry):
        if entry.key != self._platform.key_config or not entry.value:
            return
        try:
            self.config = self._platform.decode_config(entry.value)
            self.config_error = ""
        except RecordError as exc:
            self.config_error = f"the configuration cannot be read: {exc}"

    def __enter__(self):
        """Read both topics completely.

        Raises FeedError when that takes longer than LOAD_TIMEOUT_S.
        """
        self._jobs.start()
        self._operator.start()
        if not self._loop.run_until(
            lambda: self._jobs.loaded and self._operator.loaded, LOAD_TIMEOUT_S
        ):
            self.close()
            raise FeedError("the store does not answer")
        return self

    def __exit__(self, *exc_info):
        self.close()

    def close(self):
        """Close the connections."""
        for client in (self._jobs, self._operator, self._writer):
            client.close()

    def store(self, key, value):
        """Store one record; return False when it is unknown whether it was stored.

        Raises FeedError when the record certainly was not stored.
        """
        results = []
        self._writer.append([(key, value)], results.append, APPEND_TIMEOUT_S)
        self._loop.run_until(lambda: bool(results), 2 * APPEND_TIMEOUT_S)
        result = results[0] if results else None
        if isinstance(result, Appended):
            return True
        if result is not None and result.fate is AppendFate.NOT_DONE:
            raise FeedError(f"not stored: {result.detail}")
        return False
