"""Decodes the records of operators and executors, and encodes states of waves."""

import json
import math

from ..errors import RecordError
from ..jobs.customers import Customer, key_digest, Limits
from ..jobs.queues import Advice, Queue, QueueConfig, Service
from ..jobs.reports import ExecutorEntry, WaveRequest

KEY_CONFIG = "config"
PREFIX_WAVE = "wave/"
EXECUTOR_STATES = ("ready", "draining")
WEIGHT_MAX = 1e9  # jobs a second; an integer of any size must fit a float
STATUS_RUNNING = "running"
STATUS_COMPLETED = "completed"


def _parse_object(data):
    try:
        fields = json.loads(data)
    except ValueError as exc:
        raise RecordError(f"not JSON: {exc}") from exc
    if not isinstance(fields, dict):
        raise RecordError("not a JSON object")
    return fields


def _get(fields, name, kind, default=None):
    value = fields.get(name, default)
    wrong_bool = isinstance(value, bool) and kind is not bool
    if not isinstance(value, kind) or wrong_bool:
        raise RecordError(f"{name} = {value!r}: missing or of the wrong type")
    return value


def _list_of_tables(fields, name):
    # The error shows no value: one of the wrong type may contain keys.
    items = fields.get(name)
    if not isinstance(items, list) or not all(isinstance(x, dict) for x in items):
        raise RecordError(f"{name}: missing, or no list of tables")
    return items


def decode_config(data):
    """Return the QueueConfig in a ``config`` record; raise RecordError."""
    fields = _parse_object(data)
    limits = _get(fields, "limits", dict, {})
    customers = None
    if "tenants" in fields:
        customers = tuple(map(_customer, _list_of_tables(fields, "tenants")))
    return QueueConfig(
        _get(fields, "version", int),
        tuple(map(_queue, _list_of_tables(fields, "routes"))),
        tuple(map(_service, _list_of_tables(fields, "services"))),
        _get(limits, "maxBodyBytes", int, 0),
        customers,
    )


def _queue(fields):
    advice = fields.get("advice")
    return Queue(
        name=_get(fields, "name", str),
        host=_get(fields, "host", str),
        prefix=_get(fields, "pathPrefix", str),
        service=_get(fields, "service", str),
        priority=_get(fields, "priority", int, 0),
        max_attempts=_get(fields, "maxAttempts", int, 1),
        stretch=float(_get(fields, "stretch", (int, float), 1.0)),
        target_ms=_get(fields, "targetLatencyMs", int, 0),
        timeout_ms=_get(fields, "timeoutMs", int, 0),
        advice=_advice(advice) if isinstance(advice, dict) else None,
        public=_get(fields, "public", bool, False),
    )


def _customer(fields):
    keys = fields.get("apiKeys", [])
    # The error shows no value: it contains keys.
    if not isinstance(keys, list) or not all(isinstance(x, str) and x for x in keys):
        raise RecordError("apiKeys: no list of strings, or a key is empty")
    limits = _get(fields, "maxCount", dict, {})
    weight = _get(fields, "weight", (int, float), 0)
    if not 0 <= weight < math.inf:
        raise RecordError(f"weight = {weight!r}; allowed: 0 or more")
    return Customer(
        name=_get(fields, "name", str),
        weight=float(min(weight, WEIGHT_MAX)),
        limits=Limits(
            cores_m=max(0, _get(limits, "cpu", int, 0)),
            memory_mb=max(0, _get(limits, "memMb", int, 0)),
            accelerators=max(0, _get(limits, "gpu", int, 0)),
        ),
        key_digests=tuple(key_digest(key) for key in keys),
    )


def _advice(fields):
    return Advice(
        _get(fields, "decisionMs", int, 0),
        _get(fields, "periodMs", int, 0),
        _get(fields, "validMs", int, 0),
    )


def _service(fields):
    return Service(
        _get(fields, "name", str),
        _get(fields, "enforceLimits", bool, False),
        _get(fields, "standby", bool, False),
    )


def decode_executor(executor, data):
    """Return the ExecutorEntry in an executor's registration; raise RecordError."""
    fields = _parse_object(data)
    state = _get(fields, "state", str)
    if state not in EXECUTOR_STATES:
        raise RecordError(f"state = {state!r}; allowed: ready, draining")
    capacity = _get(fields, "capacity", dict)
    labels = _get(fields, "labels", list, [])
    if not all(isinstance(label, str) for label in labels):
        raise RecordError(f"labels = {labels!r}; allowed: strings")
    return ExecutorEntry(
        executor=executor,
        service=_get(fields, "service", str),
        address=_get(fields, "address", str),
        zone=_get(fields, "zone", str, ""),
        draining=state == "draining",
        cores_m=_get(capacity, "cpu", int),
        memory_mb=_get(capacity, "memMb", int),
        accelerators=_get(capacity, "gpu", int, 0),
        labels=tuple(labels),
        rack=labels[1] if len(labels) > 1 else "",
        clock_ms=_get(fields, "clockMs", int, 0),
        remaining_ms=_get(fields, "remainingMs", int, -1),
    )


def decode_wave(data):
    """Return the WaveRequest in a ``wave/N`` record; raise RecordError."""
    fields = _parse_object(data)
    vms = _get(fields, "machines", list)
    if not all(isinstance(vm, str) for vm in vms):
        raise RecordError(f"machines = {vms!r}; allowed: strings")
    return WaveRequest(
        _get(fields, "wave", int),
        tuple(vms),
        float(_get(fields, "durationS", (int, float), 0)),
        max(1, _get(fields, "maxCount", int, 1)),
    )


def encode_wave_status(wave, completed):
    """Return the (key, value) of the record of a wave's state, for operators."""
    state = STATUS_COMPLETED if completed else STATUS_RUNNING
    return PREFIX_WAVE + str(wave), json.dumps({"state": state}).encode()
