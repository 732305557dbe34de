"""Shared-key authentication: an HMAC over a nonce issued by the verifying side.

It proves that a peer knows the key and that a request was not altered or replayed.
It does not encrypt: whoever can read the network traffic can read its content.
"""

import hashlib
import hmac
import secrets
from collections import OrderedDict

KEY_MIN_CHARS = 16
NONCE_BYTES = 16
NONCE_LIFETIME_S = 30.0
NONCE_LIMIT = 1024
SCHEME = "Cardamom"


def shared_key(text):
    """Return ``text``; raise ValueError if it is too short for a key."""
    if len(text) < KEY_MIN_CHARS:
        raise ValueError(f"must have at least {KEY_MIN_CHARS} characters")
    return text


def new_nonce():
    """Return a new random nonce as hexadecimal text."""
    return secrets.token_hex(NONCE_BYTES)


def sign(key, *parts):
    """Return the hexadecimal HMAC-SHA-256 of text parts and their lengths."""
    mac = hmac.new(key.encode(), digestmod=hashlib.sha256)
    for part in parts:
        data = part.encode()
        mac.update(len(data).to_bytes(4, "big"))
        mac.update(data)
    return mac.hexdigest()


def check(key, digest, *parts):
    """Return whether ``digest`` is the HMAC of the parts; compares in constant time."""
    expected = sign(key, *parts).encode()
    return hmac.compare_digest(expected, digest.encode("utf-8", "replace"))


def authorization(key, nonce, method, target):
    """Return the value of the Authorization header for one request."""
    return f"{SCHEME} {nonce}:{sign(key, nonce, method, target)}"


class NonceBook:
    """Nonces that were issued and not yet used; each is valid once.

    Times are seconds of one clock. Beyond ``limit`` nonces, the oldest are discarded.
    """

    def __init__(self, limit=NONCE_LIMIT, lifetime_s=NONCE_LIFETIME_S):
        self._limit = limit
        self._lifetime_s = lifetime_s
        self._issued = OrderedDict()

    def issue(self, now):
        """Return a new nonce; its lifetime starts at ``now``."""
        nonce = new_nonce()
        self._issued[nonce] = now
        if len(self._issued) > self._limit:
            self._issued.popitem(last=False)
        return nonce

    def use(self, nonce, now):
        """Return whether a nonce is valid, and invalidate it."""
        issued = self._issued.pop(nonce, None)
        return issued is not None and now - issued < self._lifetime_s

    def admits(self, key, header, method, target, now):
        """Return whether an Authorization header is valid for a request.

        The nonce in the header is invalidated.
        """
        scheme, _, credentials = header.partition(" ")
        nonce, _, digest = credentials.partition(":")
        if scheme != SCHEME or not self.use(nonce, now):
            return False
        return check(key, digest, nonce, method, target)
