"""Customers: their keys, limits and shares, as the configuration gives them.

Keys are kept as SHA-256 digests only. A key is found by its digest, so that the time of
a look-up says nothing about the keys that exist.
"""

import hashlib

import attrs


@attrs.frozen
class Limits:
    """What a customer may have running at once over all executors; 0 is no limit.

    ``cores_m`` is in thousandths of a core.
    """

    cores_m: int = 0
    memory_mb: int = 0
    accelerators: int = 0


@attrs.frozen
class Customer:
    """A customer; ``weight`` is its share among others when capacity is short."""

    name: str
    weight: float = 0.0
    limits: Limits = Limits()
    key_digests: tuple = attrs.field(default=(), repr=False)


KINDS = tuple(field.name for field in attrs.fields(Limits))
NO_LIMITS = Limits()


def needs_of(step):
    """Return what one task of a Step counts towards a limit, in the order of KINDS.

    A fill task reserves no cores on its executor, but counts with those that it uses.
    """
    return step.cores_m, step.memory_mb, step.accelerators


def key_digest(key):
    """Return the digest under which a key is kept."""
    return hashlib.sha256(key.encode()).digest()


def index_keys(customers):
    """Return a dict of key digest to Customer; the first customer with a key has it."""
    index = {}
    for customer in customers:
        for digest in customer.key_digests:
            index.setdefault(digest, customer)
    return index
