"""What a node needs to know at its start."""

import attrs


@attrs.frozen
class StoreLimits:
    """Sizes that the store takes, in bytes."""

    record_bytes: int = 262_144
    call_bytes: int = 2_097_152


@attrs.frozen
class NodeSettings:
    """Settings of one node; addresses are ``ip:port``, times are in ms.

    ``machine_lease_ms`` is how long the orders of one scheduler for VMs keep those of
    another away.
    """

    node: str
    zone: str
    front: str
    ready: str
    store: str
    machines: str
    stop_ms: int
    max_lease_ms: int
    machine_lease_ms: int
    upkeep_ms: int
    status_ms: int
    visible_ms: int
    grace_ms: int
    notice_ms: int
    pace_ms: int
    interference_ms: int
    advice: str = ""
    store_limits: StoreLimits = attrs.field(factory=StoreLimits)
