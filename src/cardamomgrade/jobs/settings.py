"""Settings of a jobs node."""

import attrs


@attrs.frozen
class NodeSettings:
    """Settings of one node; addresses are ``ip:port``, fields in ms are times.

    ``max_lease_ms`` is the longest lease that an executor accepts, ``machine_lease_ms``
    how long one scheduler's order for a VM excludes orders of another scheduler,
    ``upkeep_ms`` how long the upkeep of a VM takes, ``stop_ms`` how long stopping a run
    may take, ``status_ms`` how long callers may query a finished job, and ``grace_ms``
    how long a shutdown may take. The platform takes ``vm_orders_per_s`` orders for VMs
    a second from all nodes together. ``core_share`` is the fraction of ``cores``
    processors that the node may use, ``link_mbps`` the capacity of its network link in
    Mbit/s. ``max_fds`` is how many descriptors the process may have open,
    ``memory_mb`` how much memory it may use, in MiB.
    """

    node: str
    zone: str
    front: str
    ready: str
    store: str
    machines: str
    vm_orders_per_s: float
    core_share: float
    cores: float
    link_mbps: float
    max_lease_ms: int
    machine_lease_ms: int
    upkeep_ms: int
    stop_ms: int
    status_ms: int
    grace_ms: int
    max_fds: int = 4096
    memory_mb: float = 300
