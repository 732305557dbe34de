"""Parses an operator's job file: JSON with the field names of JobSpec and Step."""

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


def _reject(path, name, value, allowed):
    raise BundleError(f"{path}: {name} = {value!r}; allowed: {allowed}")


def _parse_step(path, number, fields):
    where = f"steps[{number}]"
    if not isinstance(fields, dict):
        _reject(path, where, fields, "a JSON object")
    types = {item.name: item.type for item in attrs.fields(Step)}
    for name, value in fields.items():
        expected = types.get(name)
        if expected is None:
            _reject(path, f"{where}.{name}", value, ", ".join(types))
        expected = list if expected is tuple else expected
        if not isinstance(value, expected) or isinstance(value, bool) != (
            expected is bool
        ):
            _reject(path, f"{where}.{name}", value, expected.__name__)
    if fields.get("tasks", 0) < 1:
        _reject(path, f"{where}.tasks", fields.get("tasks"), "1 or more")
    step = Step(**fields)
    if any(item not in range(number) for item in step.after):
        _reject(path, f"{where}.after", fields["after"], "indices of earlier steps")
    return step


def parse_job_file(path, text, job, queue, now_ms):
    """Return the JobSpec of a job file's text for a Queue.

    Raises BundleError, which names the field, its value and what is allowed.
    """
    try:
        fields = json.loads(text)
    except ValueError as exc:
        raise BundleError(f"{path}: {exc}") from exc
    if not isinstance(fields, dict):
        _reject(path, "the file", fields, "a JSON object")
    for name, value in fields.items():
        expected = JOB_FIELDS.get(name)
        if expected is None:
            _reject(path, name, value, ", ".join(JOB_FIELDS))
        if not isinstance(value, expected) or isinstance(value, bool):
            _reject(path, name, value, expected.__name__)
    steps = fields.get("steps")
    if not steps:
        _reject(path, "steps", steps, "a list of one or more steps")
    return JobSpec(
        job,
        queue.name,
        queue.service,
        fields.get("text", ""),
        now_ms,
        tuple(_parse_step(path, number, step) for number, step in enumerate(steps)),
        fields.get("repeat", 0),
        fields.get("start_at_ms", 0),
        fields.get("interval_ms", 0),
        queue.max_attempts,
    )
