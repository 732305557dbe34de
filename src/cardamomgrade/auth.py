"""Shared-key authentication: an HMAC over a nonce that the checking side issued.

It shows that a peer holds the key and that a request was not altered or replayed.
It hides nothing: whoever can read the network reads what is sent.
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
    """Return ``text`` when it is long enough for a key."""
    if len(text) < KEY_MIN_CHARS:
        raise ValueError("too short")
    return text


def new_nonce():
    """Return a fresh nonce as hexadecimal text."""
    return secrets.token_hex(NONCE_BYTES)


def sign(key, *parts):
    """Return the hexadecimal HMAC-SHA-256 of text parts; lengths are covered too."""
    mac = hmac.new(key.encode(), digestmod=hashlib.sha256)
    for part in parts:
        data = part.encode()
        mac.update(len(data).to_bytes(4, "big"))
        mac.update(data)
    return mac.hexdigest()


def check(key, digest, *parts):
    """Return whether ``digest`` is the HMAC of the parts, in constant time."""
    expected = sign(key, *parts).encode()
    return hmac.compare_digest(expected, digest.encode("utf-8", "replace"))


def authorization(key, nonce, method, target):
    """Return the Authorization header's value for one request."""
    return f"{SCHEME} {nonce}:{sign(key, nonce, method, target)}"


class NonceBook:
    """Nonces that were issued and not yet used; each serves once.

    Times are seconds of one clock. The oldest nonces give way beyond a bound.
    """

    def __init__(self, limit=NONCE_LIMIT, lifetime_s=NONCE_LIFETIME_S):
        self._limit = limit
        self._lifetime_s = lifetime_s
        self._issued = OrderedDict()

    def issue(self, now):
        """Return a nonce that is valid from ``now`` for its lifetime."""
        nonce = new_nonce()
        self._issued[nonce] = now
        if len(self._issued) > self._limit:
            self._issued.popitem(last=False)
        return nonce

    def use(self, nonce, now):
        """Return whether a nonce was valid, and make it invalid."""
        issued = self._issued.pop(nonce, None)
        return issued is not None and now - issued < self._lifetime_s

    def admits(self, key, header, method, target, now):
        """Return whether an Authorization header proves the key for a request."""
        scheme, _, credentials = header.partition(" ")
        nonce, _, digest = credentials.partition(":")
        if scheme != SCHEME or not self.use(nonce, now):
            return False
        return check(key, digest, nonce, method, target)
