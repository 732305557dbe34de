"""Checks a configuration before operators send it; pure functions.

Load pattern: one version adds over a thousand queues, or changes keys and limits of
many customers. A mistake in it is in force on all nodes within seconds, so what can
never match and what contradicts itself is reported before.
"""

from enum import Enum, unique

import attrs

ATTEMPTS_HIGH = 20  # a task that always fails would be started more often than this
CORES_LOW_M = 100  # a limit below is most likely a number of cores, not thousandths


@unique
class Level(Enum):
    """How serious a Finding is; a configuration with an error must not be sent."""

    ERROR = "error"
    WARNING = "warning"


@attrs.frozen
class Finding:
    """One fault of a configuration.

    ``path`` leads to the field: names of attributes and indices from QueueConfig, or a
    text with the names in the file. ``value`` is what the field has, or None where it
    is missing or must not be shown. ``allowed`` says what it may have, and ``advice``
    what to do.
    """

    level: Level
    path: tuple
    value: object
    allowed: str
    advice: str


def _error(path, value, allowed, advice):
    return Finding(Level.ERROR, path, value, allowed, advice)


def _warning(path, value, allowed, advice):
    return Finding(Level.WARNING, path, value, allowed, advice)


def _repeated_names(kind, items):
    """Yield a Finding for each item whose name an earlier item has."""
    seen = {}
    for number, item in enumerate(items):
        if item.name in seen:
            yield _error(
                (kind, number, "name"),
                item.name,
                "a name that no earlier item of this list has",
                f"item {seen[item.name]} hides it: rename or remove one of the two",
            )
        seen.setdefault(item.name, number)


def _check_match(config):
    """Yield Findings on queues that no call or no executor ever reaches."""
    owners = {}
    services = {item.name: item for item in reversed(config.services)}
    for number, queue in enumerate(config.queues):
        path = ("queues", number)
        owner = owners.setdefault((queue.host.lower(), queue.prefix), queue)
        if owner is not queue:
            yield _error(
                (*path, "prefix"),
                queue.prefix,
                "a host and prefix that no earlier queue has",
                f"queue {owner.name!r} gets all its calls: remove one of the two or "
                "change its host or prefix",
            )
        if not queue.host or ":" in queue.host:
            yield _error(
                (*path, "host"),
                queue.host,
                "a host name without a port",
                "no call matches it: calls are compared without their port",
            )
        if not queue.prefix.startswith("/"):
            yield _error(
                (*path, "prefix"),
                queue.prefix,
                "a path that begins with /",
                "no call matches it: add the /",
            )
        elif not queue.prefix.endswith("/"):
            yield _warning(
                (*path, "prefix"),
                queue.prefix,
                "a path that ends with /",
                "callers must send the job's id right after it: add a / at its end",
            )
        service = services.get(queue.service)
        if service is None or service.standby:
            why = "is a standby pool" if service else "is not in this version"
            yield _error(
                (*path, "service"),
                queue.service,
                "the name of a service that is not a standby pool",
                f"the service {why}: jobs of queue {queue.name!r} would never run",
            )


def _check_services(config):
    used = {item.service for item in config.queues}
    for number, service in enumerate(config.services):
        if service.name not in used and not service.standby:
            yield _warning(
                ("services", number, "name"),
                service.name,
                "a service that a queue uses, or a standby pool",
                "no queue uses it: remove it, or its VMs stay without work",
            )


def _below(path, value, least, advice):
    """Yield an error if a number is below ``least``."""
    if value < least:
        yield _error(path, value, f"{least} or more", advice)


def _check_ranges(config):
    """Yield Findings on numbers that are out of range or contradict others."""
    yield from _below(
        ("body_limit",), config.body_limit, 0, "0 sets no limit on bodies"
    )
    for number, queue in enumerate(config.queues):
        path = ("queues", number)
        advice = "the most urgent queues have priority 0"
        yield from _below((*path, "priority"), queue.priority, 0, advice)
        advice = "a job would fail before its first start"
        yield from _below((*path, "max_attempts"), queue.max_attempts, 1, advice)
        if queue.max_attempts > ATTEMPTS_HIGH:
            yield _warning(
                (*path, "max_attempts"),
                queue.max_attempts,
                f"1 to {ATTEMPTS_HIGH}",
                "a task that always fails would use its room as often: lower it",
            )
        if queue.stretch <= 0:
            advice = "set the factor of a job's run time in which it is to complete"
            yield _error((*path, "stretch"), queue.stretch, "1 or more", advice)
        elif queue.stretch < 1:
            advice = "its jobs cannot complete in less than their run time: raise it"
            yield _warning((*path, "stretch"), queue.stretch, "1 or more", advice)
        advice = "give a time in ms; 0 sets none"
        for name in ("target_ms", "timeout_ms"):
            yield from _below((*path, name), getattr(queue, name), 0, advice)
        if 0 < queue.timeout_ms < queue.target_ms:
            yield _warning(
                (*path, "timeout_ms"),
                queue.timeout_ms,
                f"{queue.target_ms} or more, its target latency",
                "callers give up before the target: raise it or lower the target",
            )
        if queue.advice is not None:
            for name, value in attrs.asdict(queue.advice).items():
                yield from _below((*path, "advice", name), value, 0, advice)


def _check_keys(customers):
    """Yield Findings on customers without a key, and on keys that two have."""
    owners = {}
    for number, customer in enumerate(customers):
        path = ("customers", number, "key_digests")
        if not customer.key_digests:
            yield _warning(
                path,
                None,
                "one key or more",
                f"nobody can call as {customer.name!r}: add a key or remove it",
            )
        others = {}
        repeated = len(set(customer.key_digests)) < len(customer.key_digests)
        for digest in set(customer.key_digests):
            owner = owners.setdefault(digest, customer)
            if owner is not customer:
                others[owner.name] = None
        for name in sorted(others):
            yield _error(
                path,
                None,
                "keys that no other customer has",
                f"customers {name!r} and {customer.name!r} have the same key, and "
                f"{name!r} is charged for its calls: replace it in one of them",
            )
        if repeated:
            advice = f"customer {customer.name!r} has a key twice: remove one"
            yield _warning(path, None, "distinct keys", advice)


def _check_shares(customers):
    """Yield Findings on weights and limits."""
    for number, customer in enumerate(customers):
        path = ("customers", number)
        if not customer.name:
            advice = "jobs of a customer without a name belong to nobody: name it"
            yield _error((*path, "name"), "", "a name", advice)
        if customer.weight == 0:
            yield _warning(
                (*path, "weight"),
                customer.weight,
                "above 0",
                f"{customer.name!r} has no share when capacity is short: set a weight",
            )
        if 0 < customer.limits.cores_m < CORES_LOW_M:
            yield _warning(
                (*path, "limits", "cores_m"),
                customer.limits.cores_m,
                f"0, or {CORES_LOW_M} or more",
                "it is in thousandths of a core: 1000 is one core",
            )
    if customers and sum(item.weight for item in customers) <= 0:
        yield _error(
            ("customers",),
            None,
            "weights whose sum is above 0",
            "no customer would have a share: set weights in jobs a second",
        )


def _check_customers(config):
    if config.customers is None:
        for number, queue in enumerate(config.queues):
            if queue.public:
                advice = "it has no effect: without customers no key is asked for"
                path = ("queues", number, "public")
                yield _warning(path, True, "only where there are customers", advice)
        return
    closed = [item.name for item in config.queues if not item.public]
    if not config.customers and closed:
        yield _error(
            ("customers",),
            None,
            "one customer or more, or no such list",
            f"all calls to {len(closed)} queues would get 401, as no key is known",
        )
    yield from _repeated_names("customers", config.customers)
    yield from _check_keys(config.customers)
    yield from _check_shares(config.customers)


def check_config(config):
    """Return the Findings on a QueueConfig, in the order of its parts."""
    findings = []
    if not config.queues:
        advice = "all calls would get 404: add a queue"
        findings.append(_warning(("queues",), None, "one queue or more", advice))
    findings += _below(("version",), config.version, 0, "use an increasing number")
    findings += _repeated_names("queues", config.queues)
    findings += _check_match(config)
    findings += _check_ranges(config)
    findings += _repeated_names("services", config.services)
    findings += _check_services(config)
    findings += _check_customers(config)
    return findings


def check_successor(config, earlier):
    """Return the Findings on a QueueConfig that is to replace ``earlier``."""
    findings = []
    if config.version <= earlier.version:
        findings.append(
            _error(
                ("version",),
                config.version,
                f"{earlier.version + 1} or more",
                f"version {earlier.version} is in force: use a higher number",
            )
        )
    if config.customers is None and earlier.customers is not None:
        findings.append(
            _warning(
                ("customers",),
                None,
                "the list of customers, as before",
                "without it nobody needs a key any more: add it unless that is meant",
            )
        )
    return findings
