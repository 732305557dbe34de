"""Steps for the chart module."""

from behave import then

from cardamomgrade.chart import load_chart, parse_chart
from cardamomgrade.errors import ChartError
from cardamomgrade.refusal import Reason


@then('the chart "{name}" starts in "{state}" and the chart "{other}" in "{initial}"')
def step_initial(context, name, state, other, initial):
    assert load_chart(name).initial == state
    assert load_chart(other).initial == initial


@then('the chart text "{text}" is rejected with "{error}"')
def step_bad_chart(context, text, error):
    try:
        parse_chart("trial.ini", text.replace(";", "\n"))
    except ChartError as exc:
        assert error in str(exc) and "trial.ini" in str(exc), exc
        return
    raise AssertionError("the chart was accepted")


@then('the chart "{name}" refuses "{trigger}" when "{state}"')
def step_refused_trigger(context, name, trigger, state):
    refusal = load_chart(name).next(state, trigger)
    assert not refusal and refusal.reason is Reason.WRONG_STATE
