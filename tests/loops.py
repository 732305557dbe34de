"""Runs a loop of the package inside a test."""

import time

from cardamomgrade.loop import Loop

WAIT_S = 20.0


def run_until(loop, done, wait_s=WAIT_S):
    """Tick until ``done()`` holds; return whether it did within the bound."""
    end = time.monotonic() + wait_s
    loop._running = True
    wake = loop.call_every(0.02, lambda: None)
    while not done() and time.monotonic() < end:
        loop.tick()
    wake.cancel()
    return bool(done())


def ask(loop, call):
    """Return what ``call(on_done)`` reports, running the loop until then."""
    results = []
    call(results.append)
    assert run_until(loop, lambda: results), "no result within the bound"
    return results[0]


def new_loop():
    """Return a loop that does not take the signals of the test."""
    return Loop()
