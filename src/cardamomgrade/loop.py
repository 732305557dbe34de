"""The event loop of a process, with timers and signals, on the poller of circuits."""

import heapq
import itertools
import signal
import time

from circuits import BaseComponent, handler
from circuits.core.pollers import EPoll

EXIT_INTERNAL = 70


class Timer:
    """A callback that is due at a monotonic time in seconds."""

    __slots__ = ("due", "callback")

    def __init__(self, due, callback):
        self.due = due
        self.callback = callback

    def cancel(self):
        """Drop the callback, so that nothing is called when the timer is due."""
        self.callback = None


class Loop(BaseComponent):
    """Root component of circuits with an epoll poller and a heap of timers.

    Times are in seconds of the monotonic clock.
    """

    channel = "loop"

    def __init__(self):
        super().__init__()
        self.poller = EPoll().register(self)
        self._heap = []
        self._order = itertools.count()
        self._on_stop = None
        self._stopping = False
        self._failed = False
        self._done = lambda: False

    @staticmethod
    def now():
        """Return the monotonic time in seconds."""
        return time.monotonic()

    @staticmethod
    def boot_now():
        """Return a monotonic time in seconds that counts suspensions of the machine."""
        return time.clock_gettime(time.CLOCK_BOOTTIME)

    def call_later(self, delay, callback):
        """Call ``callback`` after ``delay`` seconds and return its Timer."""
        timer = Timer(self.now() + delay, callback)
        heapq.heappush(self._heap, (timer.due, next(self._order), timer))
        return timer

    def call_every(self, interval, callback):
        """Call ``callback`` every ``interval`` seconds until the loop ends."""

        def run_again():
            self.call_later(interval, run_again)
            callback()

        return self.call_later(interval, run_again)

    @handler("generate_events", channel="*", priority=1)
    def _on_generate_events(self, event):
        # Timers that these callbacks start wait until sockets were polled again.
        now = self.now()
        while self._heap and self._heap[0][0] <= now:
            callback = heapq.heappop(self._heap)[2].callback
            if callback is not None:
                callback()
        if self._done() or not self._running:
            event.reduce_time_left(0)
        elif self._heap:
            event.reduce_time_left(max(0.0, self._heap[0][0] - self.now()))

    def on_stop(self, callback):
        """Call ``callback`` on the loop after the first SIGTERM or SIGINT.

        The callback shuts down and ends the loop with ``finish``. A second signal
        ends the process at once. Signals are handled from this call on, so one that
        arrives before ``run`` is not lost.
        """
        self._on_stop = callback
        signal.signal(signal.SIGTERM, self._on_signal)
        signal.signal(signal.SIGINT, self._on_signal)

    def on_reload(self, callback):
        """Call ``callback`` on the loop after each SIGHUP."""

        def on_sighup(signo, frame):
            self.call_later(0, callback)
            self.poller.resume()

        signal.signal(signal.SIGHUP, on_sighup)

    def _on_signal(self, signo, frame):
        if self._stopping:
            raise SystemExit(1)
        self._stopping = True
        self.call_later(0, self._on_stop)
        self.poller.resume()

    def finish(self):
        """Make ``run`` return after the current tick."""
        self._running = False

    def fail(self):
        """End the process with status EXIT_INTERNAL after the current tick.

        For a component whose state may be wrong after an error; the platform starts a
        new process in its place.
        """
        self._failed = True
        self._running = False

    def run(self, socket=None):
        """Run until ``finish`` is called. Raises SystemExit after ``fail``."""
        self._running = True
        while self._running:
            self.tick()
        self._exit_if_failed()

    def run_until(self, done, timeout):
        """Run until ``done()`` is true or ``timeout`` seconds have passed.

        Returns ``done()``. Raises SystemExit after ``fail``.
        """
        end = self.now() + timeout
        wake = self.call_later(timeout, lambda: None)
        self._done = done
        self._running = True
        while not done() and not self._failed and self.now() < end:
            self.tick()
        self._done = lambda: False
        wake.cancel()
        self._exit_if_failed()
        return done()

    def _exit_if_failed(self):
        if self._failed:
            raise SystemExit(EXIT_INTERNAL)
