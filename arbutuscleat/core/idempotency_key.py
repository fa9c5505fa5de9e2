"""Idempotency keys and the creation time in time-ordered ones.

A request with an old key must never run a second time, yet memory is bounded.  A UUID
of version 7 (RFC 9562) contains its creation time.  When the claim of such a key has
expired, its time shows that the key is too old.  Claims of other keys never expire.
"""

import uuid

UNTIMED = 0
"""Time of a key that contains none."""

_TIME_SHIFT_BITS = 80
_TIME_ORDERED_VERSION = 7


def key_time_ms(key: str) -> int:
    """Return the creation time in a key.

    Parameters
    ----------
    key : str
        The idempotency key.

    Returns
    -------
    int
        Unix time in milliseconds; `UNTIMED` if the key is not a UUID of version 7.
    """
    try:
        value = uuid.UUID(key)
    except ValueError:
        return UNTIMED
    if value.version != _TIME_ORDERED_VERSION:
        return UNTIMED
    return value.int >> _TIME_SHIFT_BITS
