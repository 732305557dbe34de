"""Claims of idempotency keys, computed from the records of the ``claims`` stream.

The claim with the lowest offset owns the key for the period that its record names, by
the log's clock. A later claim is a duplicate and extends that period. So a reader that
lost the first claim to truncation finds the key taken for as long as other readers do.
"""

import hashlib
import struct

import attrs

from .records import KeyClaimed, KeyReleased
from .refusal import Reason, Refusal

KEY_BYTES = 16
KEY_LIMIT_CHARS = 255
_HASH_BYTES = 8
_PACKED_CLAIM = struct.Struct(f">QQ{_HASH_BYTES}s")


def claim_key(service, key):
    """Return the 16-byte digest that identifies an idempotency key of a service."""
    text = f"{len(service)}:{service}{key}".encode()
    return hashlib.blake2b(text, digest_size=KEY_BYTES).digest()


def _request_hash(request):
    return hashlib.blake2b(request.encode(), digest_size=_HASH_BYTES).digest()


@attrs.frozen
class Claim:
    """The start and end of a claim in log ms, and the hash of its owner's id."""

    time_ms: int
    until_ms: int
    request_hash: bytes

    def belongs_to(self, request):
        """Return whether ``request`` is the id of the request that owns the claim."""
        return self.request_hash == _request_hash(request)


class ClaimState:
    """The live claims, kept in two generations so that expiry needs no search.

    When the young generation spans the longest time that a key is remembered, it
    becomes the old one, and the previous old one is dropped as a whole. Whether a
    claim is live depends on its own end only. A claim is packed into 24 bytes.
    """

    def __init__(self):
        self._young = {}
        self._old = {}
        self._young_since_ms = 0
        self.next_offset = 0
        self.time_ms = 0
        self.longest_memory_ms = 0
        self.known_since_ms = None

    def __len__(self):
        return len(self._young) + len(self._old)

    def restart_at(self, earliest):
        """Continue at offset ``earliest``, as records before it are not retained.

        Drops all known claims, since a lost record may have released one of them.
        """
        self._young.clear()
        self._old.clear()
        self.next_offset = earliest
        self.known_since_ms = -1

    def complete(self, time_ms, memory_ms):
        """Return whether every claim that is live at ``time_ms`` is known.

        False after ``restart_at`` until the longest time that a key is remembered has
        passed, counted from the first record read then.
        """
        if self.known_since_ms is None:
            return True
        known = self.known_since_ms
        longest_ms = max(memory_ms, self.longest_memory_ms)
        return known >= 0 and known + longest_ms <= time_ms

    def find(self, key, time_ms):
        """Return the Claim of ``key`` that is live at ``time_ms``, or None."""
        packed = self._young.get(key) or self._old.get(key)
        if packed is None:
            return None
        claim = Claim(*_PACKED_CLAIM.unpack(packed))
        return claim if time_ms < claim.until_ms else None

    def fold(self, logged):
        """Apply a record; return True, or a Refusal with the reason why it is void.

        A record below ``next_offset`` was applied before and has no effect.
        """
        if logged.offset < self.next_offset:
            return Refusal(Reason.ALREADY_DONE)
        self.next_offset = logged.offset + 1
        self._advance(logged.time_ms)
        if isinstance(logged.record, KeyClaimed):
            return self._claim(logged.record)
        if isinstance(logged.record, KeyReleased):
            return self._release(logged.record)
        return Refusal(Reason.UNKNOWN, "no record of claims")

    def _advance(self, time_ms):
        self.time_ms = max(self.time_ms, time_ms)
        if self.known_since_ms == -1:
            self.known_since_ms = self.time_ms
        if self.time_ms - self._young_since_ms >= self.longest_memory_ms:
            self._old, self._young = self._young, {}
            self._young_since_ms = self.time_ms

    def _claim(self, record):
        self.longest_memory_ms = max(self.longest_memory_ms, record.memory_ms)
        until_ms = self.time_ms + record.memory_ms
        claim = self.find(record.key, self.time_ms)
        if claim is not None:
            until_ms = max(until_ms, claim.until_ms)
            self._put(record.key, attrs.evolve(claim, until_ms=until_ms))
            return Refusal(Reason.DUPLICATE)
        owner = _request_hash(record.request)
        self._put(record.key, Claim(self.time_ms, until_ms, owner))
        return True

    def _put(self, key, claim):
        self._old.pop(key, None)
        self._young[key] = _PACKED_CLAIM.pack(
            claim.time_ms, claim.until_ms, claim.request_hash
        )

    def _release(self, record):
        claim = self.find(record.key, self.time_ms)
        if claim is None or not claim.belongs_to(record.request):
            return Refusal(Reason.OUTDATED)
        self._young.pop(record.key, None)
        self._old.pop(record.key, None)
        return True
