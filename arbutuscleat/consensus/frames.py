"""Frames: checksummed pieces of a file.

A frame is written by one write and synced before the next one is written.  So
only the last frame of a file can be torn; a bad frame with a good one behind it
is damage, and the replica must not start on it.
"""

import struct
import zlib

_HEADER = struct.Struct("!4sIII")
_MAGIC = b"ACLT"


class DamagedFileError(Exception):
    """A file of the data folder is damaged before its end."""


def frame(payload: bytes) -> bytes:
    """Return `payload` with header and checksums."""
    checksum = zlib.crc32(payload)
    header_checksum = zlib.crc32(struct.pack("!II", len(payload), checksum))
    return _HEADER.pack(_MAGIC, len(payload), checksum, header_checksum) + payload


def read_frames(data: bytes, name: str) -> tuple[list[bytes], int]:
    """Return the payloads in `data` and the size of the undamaged part.

    Raises
    ------
    DamagedFileError
        If a good frame stands behind a bad one.
    """
    payloads = []
    position = 0
    while position < len(data):
        payload = _payload_at(data, position)
        if payload is None:
            _require_torn_tail(data, position, name)
            break
        payloads.append(payload)
        position += _HEADER.size + len(payload)
    return payloads, position


def _payload_at(data: bytes, position: int) -> bytes | None:
    if position + _HEADER.size > len(data):
        return None
    magic, length, checksum, header_checksum = _HEADER.unpack_from(data, position)
    if magic != _MAGIC:
        return None
    if header_checksum != zlib.crc32(struct.pack("!II", length, checksum)):
        return None
    start = position + _HEADER.size
    payload = data[start : start + length]
    if len(payload) != length or zlib.crc32(payload) != checksum:
        return None
    return payload


def _require_torn_tail(data: bytes, position: int, name: str) -> None:
    candidate = data.find(_MAGIC, position + 1)
    while candidate >= 0:
        if _payload_at(data, candidate) is not None:
            raise DamagedFileError(
                f"{name}: damaged at byte {position}, undamaged again at {candidate}"
            )
        candidate = data.find(_MAGIC, candidate + 1)
