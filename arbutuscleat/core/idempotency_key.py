"""Idempotency keys, and the time that a time-ordered one carries.

Old keys must never become runnable again, and memory is bounded.  A key in the
form of a UUID of version 7 (RFC 9562) carries its time: once its claim is
forgotten, the key is known to be too old.  Other keys are never forgotten.
"""

import uuid

UNTIMED = 0
_TIME_SHIFT_BITS = 80
_TIME_ORDERED_VERSION = 7


def key_time_ms(key: str) -> int:
    """Return the Unix time of a key in milliseconds; `UNTIMED` when it has none."""
    try:
        value = uuid.UUID(key)
    except ValueError:
        return UNTIMED
    if value.version != _TIME_ORDERED_VERSION:
        return UNTIMED
    return value.int >> _TIME_SHIFT_BITS
