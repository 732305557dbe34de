"""State charts: transition tables in INI files and their interpreter.

The section ``[chart]`` names the ``initial`` state. Each other section is a state and
maps the triggers that it accepts to the next state.
"""

from pathlib import Path

import attrs

from .errors import ChartError, SettingsError
from .refusal import Reason, Refusal
from .settings import read_ini

CHARTS_DIR = Path(__file__).parent / "charts"
CHART_SECTION = "chart"


@attrs.frozen
class Chart:
    """A checked chart; ``transitions`` is {state: {trigger: next state}}."""

    name: str
    initial: str
    transitions: dict

    def next(self, state, trigger):
        """Return the state that follows ``trigger``, or a Refusal (WRONG_STATE)."""
        next_state = self.transitions[state].get(trigger)
        if next_state is None:
            return Refusal(
                Reason.WRONG_STATE,
                f"{self.name} is {state} and does not accept {trigger}",
            )
        return next_state


def parse_chart(name, text):
    """Return the Chart of INI text.

    Raises ChartError when it is not valid INI, names an unknown state or has a state
    that cannot be reached.
    """
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
    for target, origin in targets.items():
        if target not in states:
            allowed = ", ".join(states)
            raise ChartError(
                f"{name}: {origin} = {target!r}: unknown state; allowed: {allowed}"
            )
    _check_reachable(name, initial, states)
    return Chart(name, initial, states)


def _check_reachable(name, initial, states):
    reached, pending = set(), [initial]
    while pending:
        state = pending.pop()
        if state not in reached:
            reached.add(state)
            pending.extend(states[state].values())
    unreachable = [state for state in states if state not in reached]
    if unreachable:
        raise ChartError(f"{name}: [{unreachable[0]}]: state cannot be reached")


def load_chart(name):
    """Return the Chart of ``charts/NAME.ini`` in the package.

    Raises ChartError when the file is missing or not a valid chart.
    """
    path = CHARTS_DIR / f"{name}.ini"
    try:
        text = path.read_text()
    except OSError as exc:
        raise ChartError(f"{path}: {exc}") from exc
    return parse_chart(name, text)
