"""Divides the estate between pools; pure functions.

Load pattern: the needs of several pools exceed the estate together. Each pool gets what
it needs up to an equal share, and what the smaller needs leave is divided among the
others (max-min fairness), so that one pool's backlog does not starve another's work.
"""


def fair_shares(needs, total):
    """Return a dict of pool to VMs, for a dict ``needs`` of pool to VMs needed.

    The shares add up to ``total`` at most. No pool gets more than it needs.
    """
    shares = {}
    left = max(0, total)
    pending = sorted(needs, key=lambda pool: (needs[pool], pool))
    for index, pool in enumerate(pending):
        equal = left // (len(pending) - index)
        shares[pool] = min(needs[pool], equal)
        left -= shares[pool]
    return shares
