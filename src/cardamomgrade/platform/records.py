"""Decodes the records of operators and executors, and encodes states of waves."""

import json

from ..errors import RecordError
from ..jobs.customers import Customer, key_digest, Limits
from ..jobs.queues import Advice, Queue, QueueConfig, Service
from ..jobs.reports import ExecutorEntry, WaveRequest
from .checks import (
    born_ms,
    INT_LIMIT,
    is_address,
    is_header_name,
    is_int,
    is_name,
    is_number,
    is_text,
    parse_object,
    shown,
)

KEY_CONFIG = "config"
SECRET_FIELDS = ("tenants", "apiKeys")  # their values hold keys, errors must not
PREFIX_WAVE = "wave/"
EXECUTOR_STATES = ("ready", "draining")
STATUS_RUNNING = "running"
STATUS_COMPLETED = "completed"
CAPACITY_MAX = 10**9  # thousandths of a core, or MB; no machine has a tenth of it
UNUSED_NUMBERS = ("slots", "sequence", "coldRemainingMs")  # of a registration
_NUMBER = (int, float)
_CHECKS = {int: is_int, _NUMBER: is_number, str: is_text}


def _parse_object(data):
    try:
        return parse_object(data)
    except ValueError as exc:
        raise RecordError(f"not JSON: {exc}") from exc


def _get(fields, name, kind, default=None):
    if not isinstance(fields, dict):
        raise RecordError(f"{shown(fields)} in place of a table with {name}")
    value = fields.get(name, default)
    check = _CHECKS.get(kind)
    if not (check(value) if check is not None else isinstance(value, kind)):
        text = "" if name in SECRET_FIELDS else f" = {shown(value)}"
        raise RecordError(f"{name}{text}: missing or not allowed")
    return value


def _get_count(fields, name, default=None, low=0, high=INT_LIMIT):
    value = fields.get(name, default)
    if not is_int(value, low, high):
        raise RecordError(f"{name} = {shown(value)}; allowed: {low} to {high}")
    return value


def _get_objects(fields, name):
    items = _get(fields, name, list)
    if not all(isinstance(item, dict) for item in items):
        raise RecordError(f"{name}: an item is not a JSON object")
    return items


def _get_number(fields, name, default):
    return float(_get(fields, name, _NUMBER, default))


def decode_config(data):
    """Return the QueueConfig in a ``config`` record; raise RecordError."""
    fields = _parse_object(data)
    limits = _get(fields, "limits", dict, {})
    customers = None
    if "tenants" in fields:
        customers = tuple(_customer(item) for item in _get_objects(fields, "tenants"))
    return QueueConfig(
        _get(fields, "version", int),
        tuple(_queue(item) for item in _get_objects(fields, "routes")),
        tuple(_service(item) for item in _get_objects(fields, "services")),
        _get(limits, "maxBodyBytes", int, 0),
        customers,
    )


def _queue(fields):
    name = _get(fields, "name", str)
    advice = fields.get("advice")
    return Queue(
        name=name,
        host=_get(fields, "host", str),
        prefix=_get(fields, "pathPrefix", str),
        service=_get(fields, "service", str),
        priority=_get(fields, "priority", int, 0),
        max_attempts=_get(fields, "maxAttempts", int, 1),
        stretch=_get_number(fields, "stretch", 1.0),
        target_ms=_get(fields, "targetLatencyMs", int, 0),
        timeout_ms=_get(fields, "timeoutMs", int, 0),
        advice=_advice(advice) if isinstance(advice, dict) else None,
        public=_get(fields, "public", bool, False),
    )


def _customer(fields):
    keys = fields.get("apiKeys", [])
    # The error shows no value: it contains keys.
    if not isinstance(keys, list) or not all(is_text(key) and key for key in keys):
        raise RecordError("apiKeys: no list of texts, or a key is empty")
    limits = _get(fields, "maxCount", dict, {})
    weight = _get_number(fields, "weight", 0)
    if weight < 0:
        raise RecordError(f"weight = {weight!r}; allowed: 0 or more")
    return Customer(
        name=_get(fields, "name", str),
        weight=weight,
        limits=Limits(
            cores_m=max(0, _get(limits, "cpu", int, 0)),
            memory_mb=max(0, _get(limits, "memMb", int, 0)),
            accelerators=max(0, _get(limits, "gpu", int, 0)),
        ),
        key_digests=tuple(map(key_digest, keys)),
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


def _check_unused(fields):
    """Raise RecordError if an unused field of a registration is of another type.

    Such an entry is another writer's, whatever its other fields say.
    """
    for name in UNUSED_NUMBERS:
        value = fields.get(name)
        if value is not None and not is_number(value):
            raise RecordError(f"{name} = {shown(value)}; allowed: a number")
    version = fields.get("version")
    if not (version is None or is_text(version) or is_number(version)):
        raise RecordError(f"version = {shown(version)}; allowed: a string")


def decode_executor(executor, data):
    """Return the ExecutorEntry in an executor's registration; raise RecordError."""
    if not is_header_name(executor):
        raise RecordError(f"id = {shown(executor)}; allowed: printable ASCII")
    fields = _parse_object(data)
    state = _get(fields, "state", str)
    if state not in EXECUTOR_STATES:
        raise RecordError(f"state = {shown(state)}; allowed: ready, draining")
    service = fields.get("service")
    if not is_name(service):
        raise RecordError(f"service = {shown(service)}; allowed: a name")
    address = _get(fields, "address", str)
    if not is_address(address):
        raise RecordError(f"address = {shown(address)}; allowed: ip:port")
    capacity = _get(fields, "capacity", dict)
    labels = _get(fields, "labels", list, [])
    if not all(is_text(label) for label in labels):
        raise RecordError(f"labels = {shown(labels)}; allowed: strings")
    _check_unused(fields)
    return ExecutorEntry(
        executor=executor,
        service=service,
        address=address,
        zone=_get(fields, "zone", str, ""),
        draining=state == "draining",
        cores_m=_get_count(capacity, "cpu", high=CAPACITY_MAX),
        memory_mb=_get_count(capacity, "memMb", high=CAPACITY_MAX),
        accelerators=_get_count(capacity, "gpu", 0, high=CAPACITY_MAX),
        labels=tuple(labels),
        rack=labels[1] if len(labels) > 1 else "",
        clock_ms=_get_count(fields, "clockMs", 0),
        remaining_ms=_get(fields, "remainingMs", int, -1),
        born=born_ms(fields),
    )


def decode_wave(data):
    """Return the WaveRequest in a ``wave/N`` record; raise RecordError."""
    fields = _parse_object(data)
    vms = _get(fields, "machines", list)
    if not all(is_name(vm) for vm in vms):
        raise RecordError(f"machines = {shown(vms)}; allowed: strings")
    return WaveRequest(
        _get(fields, "wave", int),
        tuple(vms),
        _get_number(fields, "durationS", 0),
        max(1, _get(fields, "maxCount", int, 1)),
    )


def encode_wave_status(wave, completed):
    """Return the (key, value) of the record of a wave's state, for operators."""
    state = STATUS_COMPLETED if completed else STATUS_RUNNING
    return PREFIX_WAVE + str(wave), json.dumps({"state": state}).encode()
