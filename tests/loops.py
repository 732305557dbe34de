"""Runs a loop of the package inside a test."""

WAIT_S = 20.0


def ask(loop, call):
    """Return what ``call(on_done)`` reports, running the loop until then."""
    results = []
    call(results.append)
    assert loop.run_until(lambda: bool(results), WAIT_S), "no result in time"
    return results[0]
