"""An operator's session with the jobs' store: reads what it holds, stores a record."""

from ..errors import FeedError
from ..loop import Loop
from ..net import Net
from .follow import TopicFollower
from .store import Appended, AppendFate
from .view import JobView

LOAD_S = 8.0  # of a store that is 60 times as slow, read page by page
APPEND_S = 2.0


class JobSession:
    """All jobs and the configuration in force, on a loop that runs while it is asked.

    A context manager: what it opened is closed at its end. ``view`` is a JobView,
    ``config`` the newest QueueConfig or None.
    """

    def __init__(self, cfg, make_platform):
        self._loop = Loop()
        self._platform = make_platform(self._loop, Net(self._loop), cfg)
        self.view = JobView()
        self.config = None
        self._jobs = TopicFollower(
            self._loop, self._platform.jobs_topic(), "jobs", self.view.fold
        )
        self._operator = TopicFollower(
            self._loop, self._platform.operator_topic(), "operator", self._on_operator
        )
        self._writer = self._platform.jobs_topic()

    def _on_operator(self, entry):
        if entry.key == self._platform.key_config and entry.value:
            self.config = self._platform.decode_config(entry.value)

    def __enter__(self):
        """Read both topics whole; raise FeedError when the store does not answer."""
        self._jobs.start()
        self._operator.start()
        if not self._loop.run_until(
            lambda: self._jobs.loaded and self._operator.loaded, LOAD_S
        ):
            self.close()
            raise FeedError("the store does not answer")
        return self

    def __exit__(self, *exc_info):
        self.close()

    def close(self):
        """Close the connections."""
        for part in (self._jobs, self._operator, self._writer):
            part.close()

    def store(self, key, value):
        """Store one record; return whether it surely is stored.

        Raises FeedError when the store refused it and holds nothing of it.
        """
        results = []
        self._writer.append([(key, value)], results.append, APPEND_S)
        self._loop.run_until(lambda: bool(results), 2 * APPEND_S)
        result = results[0] if results else None
        if isinstance(result, Appended):
            return True
        if result is not None and result.fate is AppendFate.NOT_DONE:
            raise FeedError(f"not stored: {result.detail}")
        return False
