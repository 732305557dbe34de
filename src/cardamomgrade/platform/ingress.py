"""Decodes callers' HTTP requests into JobCalls and encodes the answers."""

import json

import attrs

from ..errors import RecordError
from ..jobs.calls import AnswerKind, CallKind, JobCall
from ..jobs.records import JobState
from ..jobs.spec import Step
from ..ops import JSON_HEADER
from ..wire import HttpResponse
from .checks import is_int, is_text, parse_json, shown

TEXT_LIMIT_BYTES = 4000  # limit of the field ``spec``, the job's text
STEPS_LIMIT = 64
TASKS_LIMIT = 4096
REPEATED_TASKS_LIMIT = 65_536  # of all occurrences, which may all be due at once
ID_DIGITS = 16
DEADLINE_DIGITS = 15
READY_PATH = "/api/ready"
KEY_SCHEME = "bearer"
KEY_LIMIT_CHARS = 512
_HEX = frozenset("0123456789abcdefABCDEF")
_STATES = {
    JobState.PENDING: "pending",
    JobState.RUNNING: "running",
    JobState.COMPLETED: "completed",
    JobState.FAILED: "failed",
    JobState.CANCELLED: "cancelled",
}
_METHODS = {
    "POST": CallKind.SUBMIT,
    "GET": CallKind.STATUS,
    "DELETE": CallKind.CANCEL,
}
_CHECKS = {int: lambda value: is_int(value, low=0), str: is_text}
_STATUSES = {
    AnswerKind.DONE: 200,
    AnswerKind.NO_QUEUE: 404,
    AnswerKind.NO_JOB: 410,
    AnswerKind.NO_KEY: 401,
    AnswerKind.FORBIDDEN: 403,
    AnswerKind.BAD_REQUEST: 400,
    AnswerKind.TOO_LARGE: 413,
    AnswerKind.BUSY: 429,
    AnswerKind.UNAVAILABLE: 503,
    AnswerKind.UNKNOWN: 504,
}
_STEP_FIELDS = {
    # name on the wire: (field, type)
    "count": ("tasks", int),
    "cpu": ("cores_m", int),
    "memMb": ("memory_mb", int),
    "gpu": ("accelerators", int),
    "estimateMs": ("estimate_ms", int),
    "after": ("after", list),
    "requirements": ("label", str),
    "affinity": ("rack", str),
    "antiAffinity": ("per_executor", int),
    "gangScheduled": ("gang", bool),
    "rackLocal": ("rack_local", bool),
    "speculative": ("speculative", bool),
    "longRunning": ("lasting", bool),
    "checkpointing": ("checkpoints", bool),
    "fills": ("fills", bool),
    "image": ("image", str),
    "targetMs": ("target_ms", int),
    "mayMiss": ("may_miss", int),
}


def path_after_prefix(queue, path):
    """Return the part of a path after the queue's prefix."""
    return path[len(queue.prefix) :]


def decode_job(req, queue):
    """Return the id of the job in a request's path, or "" if there is no valid one."""
    rest = path_after_prefix(queue, req.path)
    return rest if _is_id(rest) else ""


def _is_id(text):
    return len(text) == ID_DIGITS and _HEX.issuperset(text)


def decode_key(req):
    """Return the customer's key that a request carries, or "".

    It is "" unless the request has exactly one header with a scheme and a key.
    """
    name = b"authorization"
    values = [value for key, value in req.headers if key.lower() == name]
    if len(values) != 1:
        return ""
    # Other white space is part of a key, and no key has any.
    scheme, _, key = values[0].decode("latin-1").strip(" \t").partition(" ")
    key = key.strip(" ")
    if scheme.lower() != KEY_SCHEME or len(key) > KEY_LIMIT_CHARS:
        return ""
    return "" if any(char.isspace() for char in key) else key


def decode_call(req, queue):
    """Return the JobCall of a request to a queue.

    Raises RecordError when the request is not valid; its text goes to the caller.
    """
    rest = path_after_prefix(queue, req.path)
    deadline = req.header("x-deadline-ms", "0")
    is_time = deadline.isdecimal() and len(deadline) <= DEADLINE_DIGITS
    deadline_ms = int(deadline) if is_time else 0
    if rest == "" and req.method == "GET":
        return JobCall(CallKind.COUNT, queue.name, "", deadline_ms)
    kind = _METHODS.get(req.method)
    if kind is None:
        raise RecordError(f"method {req.method}")
    if not _is_id(rest):
        raise RecordError("the id is no string of 16 hexadecimal digits")
    call = JobCall(kind, queue.name, rest, deadline_ms)
    return _decode_job(call, req.body) if kind is CallKind.SUBMIT else call


def _decode_job(call, body):
    try:
        fields = parse_json(body)
    except ValueError as exc:
        raise RecordError(f"the body is no JSON: {exc}") from exc
    if not isinstance(fields, dict) or not isinstance(fields.get("steps"), list):
        raise RecordError("the body has no steps")
    text = fields.get("spec", "")
    if not is_text(text) or len(text.encode()) > TEXT_LIMIT_BYTES:
        raise RecordError("spec is no text of at most 4000 bytes")
    steps = tuple(
        _decode_step(item, number) for number, item in enumerate(fields["steps"])
    )
    if not 0 < len(steps) <= STEPS_LIMIT:
        raise RecordError(f"{len(steps)} steps")
    if sum(step.tasks for step in steps) > TASKS_LIMIT:
        raise RecordError("too many tasks")
    times = [fields.get(name, 0) for name in ("repeatCount", "startAtMs", "intervalMs")]
    if not all(is_int(item, low=0) for item in times):
        raise RecordError(f"times = {shown(times)}")
    if times[0] * sum(step.tasks for step in steps) > REPEATED_TASKS_LIMIT:
        raise RecordError("too many tasks in all repetitions")
    return attrs.evolve(
        call,
        text=text,
        steps=steps,
        repeat=times[0],
        start_at_ms=times[1],
        interval_ms=times[2],
    )


def _decode_step(fields, number):
    if not isinstance(fields, dict):
        raise RecordError(f"step {number} is no table")
    values = {}
    for name, (field, kind) in _STEP_FIELDS.items():
        if name not in fields:
            continue
        value = fields[name]
        check = _CHECKS.get(kind)
        if not (check(value) if check is not None else isinstance(value, kind)):
            raise RecordError(f"step {number}: {name} = {shown(value)}")
        values[field] = value
    step = Step(**{"tasks": 1, **values})
    earlier = all(is_int(item, 0, number - 1) for item in step.after)
    if step.tasks < 1 or not earlier:
        raise RecordError(f"step {number}: tasks or after")
    return step


def encode_answer(answer):
    """Return the HttpResponse of an Answer."""
    headers = [JSON_HEADER]
    if answer.retry_after_s:
        headers.append((b"retry-after", str(answer.retry_after_s).encode()))
    fields = {}
    if answer.state is not None:
        fields["state"] = _STATES[answer.state]
    if answer.waiting is not None:
        fields["pendingCount"] = answer.waiting
    if answer.detail:
        fields["error"] = answer.detail
    body = json.dumps(fields).encode()
    return HttpResponse(_STATUSES[answer.kind], tuple(headers), body)


def bad_request(status, detail):
    """Return the HttpResponse to a request that is not valid HTTP."""
    body = json.dumps({"error": detail}).encode()
    return HttpResponse(status, (JSON_HEADER,), body)
