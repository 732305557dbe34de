"""What a node needs to know at its start."""

import attrs


@attrs.frozen
class NodeSettings:
    """Settings of one node; addresses are ``ip:port``, times are in ms.

    ``max_lease_ms`` is the longest lease that an executor takes, ``machine_lease_ms``
    how long the orders of one scheduler for VMs keep those of another away,
    ``stop_ms`` how long a stop may take.
    ``core_share`` is the share of ``cores`` processors that the node may use,
    ``link_mbps`` what its link carries.
    """

    node: str
    zone: str
    front: str
    ready: str
    store: str
    machines: str
    core_share: float
    cores: float
    link_mbps: float
    max_lease_ms: int
    machine_lease_ms: int
    upkeep_ms: int
    stop_ms: int
    status_ms: int
    grace_ms: int
