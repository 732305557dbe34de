"""State charts: transition tables in INI files and their interpreter.

The section ``[chart]`` names the ``initial`` state. Every other section is a state
that maps the triggers it accepts to the state that follows.
"""

from pathlib import Path

import attrs

from .errors import ChartError, SettingsError
from .refusal import Reason, Refusal
from .settings import read_ini

CHARTS = Path(__file__).parent / "charts"
CHART_SECTION = "chart"


@attrs.frozen
class Chart:
    """A checked chart; ``transitions`` is {state: {trigger: next state}}."""

    name: str
    initial: str
    transitions: dict

    def next(self, state, trigger):
        """Return the state after ``trigger``, or a Refusal (WRONG_STATE)."""
        following = self.transitions[state].get(trigger)
        if following is None:
            return Refusal(
                Reason.WRONG_STATE, f"{self.name} is {state}: {trigger} not possible"
            )
        return following


def parse_chart(name, text):
    """Return the Chart of INI text; raise ChartError when it is not whole."""
    try:
        parser = read_ini(name, text)
    except SettingsError as exc:
        raise ChartError(str(exc)) from exc
    states = {
        title: dict(parser[title])
        for title in parser.sections()
        if title != CHART_SECTION
    }
    initial = parser.get(CHART_SECTION, "initial", fallback="")
    targets = {initial: f"[{CHART_SECTION}] initial"}
    for state, table in states.items():
        targets.update(
            (target, f"[{state}] {trigger}") for trigger, target in table.items()
        )
    for target, place in targets.items():
        if target not in states:
            allowed = ", ".join(states)
            raise ChartError(
                f"{name}: {place} = {target!r}: unknown state; allowed: {allowed}"
            )
    _check_reachable(name, initial, states)
    return Chart(name, initial, states)


def _check_reachable(name, initial, states):
    seen, waiting = set(), [initial]
    while waiting:
        state = waiting.pop()
        if state not in seen:
            seen.add(state)
            waiting.extend(states[state].values())
    lost = [state for state in states if state not in seen]
    if lost:
        raise ChartError(f"{name}: [{lost[0]}]: state is never reached")


def load_chart(name):
    """Return the Chart of ``charts/NAME.ini``; raise ChartError."""
    path = CHARTS / f"{name}.ini"
    try:
        text = path.read_text()
    except OSError as exc:
        raise ChartError(f"{path}: {exc}") from exc
    return parse_chart(name, text)
