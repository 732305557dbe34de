"""Runs an event loop of the package inside a test."""

RESULT_TIMEOUT_S = 20.0


def await_result(loop, call):
    """Run the loop until ``call(on_done)`` reports a result, and return it."""
    results = []
    call(results.append)
    assert loop.run_until(lambda: bool(results), RESULT_TIMEOUT_S), "no result in time"
    return results[0]
