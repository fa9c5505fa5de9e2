"""Frames: checksummed records in a file.

A frame is written with one write and synced before the next frame is written.  A
crash can therefore tear only the last frame of a file.  An invalid frame before a
valid one means that the file is damaged, and the replica must not start with it.
"""

import struct
import zlib

_HEADER = struct.Struct("!4sIII")
_MAGIC = b"ACLT"


class DamagedFileError(Exception):
    """A data folder is damaged, incomplete or belongs to another replica."""


def frame(payload: bytes) -> bytes:
    """Return `payload` with a header that holds its size and checksums."""
    checksum = zlib.crc32(payload)
    header_checksum = zlib.crc32(struct.pack("!II", len(payload), checksum))
    return _HEADER.pack(_MAGIC, len(payload), checksum, header_checksum) + payload


def read_frames(data: bytes, name: str) -> tuple[list[bytes], int]:
    """Split the content of a file into frames.

    Parameters
    ----------
    data : bytes
        Content of the file.
    name : str
        Name of the file, for error messages.

    Returns
    -------
    payloads : list of bytes
        Payloads of the valid frames.
    valid_size : int
        Size of the valid frames in bytes; a torn frame may follow them.

    Raises
    ------
    DamagedFileError
        If a valid frame follows an invalid one.
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
    """Return the payload of the frame at a position, or None if it is invalid."""
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
    """Raise `DamagedFileError` if a valid frame follows the invalid one."""
    candidate = data.find(_MAGIC, position + 1)
    while candidate >= 0:
        if _payload_at(data, candidate) is not None:
            raise DamagedFileError(
                f"{name}: invalid frame at byte {position}, but a valid one follows at "
                f"byte {candidate}"
            )
        candidate = data.find(_MAGIC, candidate + 1)
