"""A job as an operator writes it in a file: JSON in the project's own names."""

import json

import attrs

from ..errors import BundleError
from .spec import JobSpec, Step

JOB_FIELDS = {
    "text": str,
    "steps": list,
    "repeat": int,
    "start_at_ms": int,
    "interval_ms": int,
}


def _fail(path, name, value, allowed):
    raise BundleError(f"{path}: {name} = {value!r}; allowed: {allowed}")


def _step(path, number, fields):
    place = f"steps[{number}]"
    if not isinstance(fields, dict):
        _fail(path, place, fields, "a table of fields")
    known = {item.name: item.type for item in attrs.fields(Step)}
    for name, value in fields.items():
        kind = known.get(name)
        if kind is None:
            _fail(path, f"{place}.{name}", value, ", ".join(known))
        kind = list if kind is tuple else kind
        if not isinstance(value, kind) or isinstance(value, bool) != (kind is bool):
            _fail(path, f"{place}.{name}", value, kind.__name__)
    if fields.get("tasks", 0) < 1:
        _fail(path, f"{place}.tasks", fields.get("tasks"), "1 or more")
    step = Step(**fields)
    if any(item not in range(number) for item in step.after):
        _fail(path, f"{place}.after", fields["after"], "numbers of earlier steps")
    return step


def parse_order(path, text, job, queue, now_ms):
    """Return the JobSpec of a file's text for a Queue; raise BundleError.

    The error names the field, its value and what is allowed.
    """
    try:
        fields = json.loads(text)
    except ValueError as exc:
        raise BundleError(f"{path}: {exc}") from exc
    if not isinstance(fields, dict):
        _fail(path, "the file", fields, "a table of fields")
    for name, value in fields.items():
        kind = JOB_FIELDS.get(name)
        if kind is None:
            _fail(path, name, value, ", ".join(JOB_FIELDS))
        if not isinstance(value, kind) or isinstance(value, bool):
            _fail(path, name, value, kind.__name__)
    steps = fields.get("steps")
    if not steps:
        _fail(path, "steps", steps, "one step or more")
    return JobSpec(
        job,
        queue.name,
        queue.service,
        fields.get("text", ""),
        now_ms,
        tuple(_step(path, number, step) for number, step in enumerate(steps)),
        fields.get("repeat", 0),
        fields.get("start_at_ms", 0),
        fields.get("interval_ms", 0),
        queue.max_attempts,
    )
