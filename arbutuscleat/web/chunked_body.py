"""Reader of chunked bodies (RFC 9112, section 7.1) with limits.

cheroot's own reader has no limit on the length of a chunk's line, takes numbers that
are not chunk sizes, and leaves trailers unread, so that they would be parsed as the
next request.
"""

import re
from typing import Protocol

from arbutuscleat.core import ClientLimits

_SIZE = re.compile(rb"[0-9A-Fa-f]{1,16}")
_LINE_END = b"\r\n"
MAX_TRAILER_BYTES = 4_096
"""Longest trailer: a quarter of what the headers of a request may have."""


class FramingError(ValueError):
    """A body whose framing is malformed, or which ends early."""


class TooLargeError(ValueError):
    """A body or its framing beyond a limit."""


class ByteReader(Protocol):
    """Source of bytes; both methods return fewer bytes only at its end."""

    def read(self, size: int) -> bytes:
        """Return `size` bytes."""

    def readline(self, size: int) -> bytes:
        """Return bytes up to and including a line feed, at most `size`."""


class ChunkedBody:
    """The chunked body of one request.

    Parameters
    ----------
    reader : ByteReader
        The connection, after the headers of the request.
    max_body_bytes : int
        Size limit of the body without its framing.
    limits : ClientLimits
        Limits of the framing.

    Attributes
    ----------
    remaining : int
        0 once the body and its trailers have been read; 1 before.
    """

    def __init__(self, reader: ByteReader, max_body_bytes: int, limits: ClientLimits):
        self._reader = reader
        self._max_body_bytes = max_body_bytes
        self._limits = limits
        self._framing_bytes = 0
        self.remaining = 1

    def read(self, size: int | None = None) -> bytes:
        """Return the whole body; empty if it has been read before.

        Parameters
        ----------
        size : int, optional
            Ignored: requests are always read in full.

        Raises
        ------
        FramingError
            If the framing is malformed or ends early.
        TooLargeError
            If the body or its framing is beyond a limit.
        """
        body = bytearray()
        while self.remaining:
            length = self._read_length()
            if not length:
                self._skip_trailers()
                self.remaining = 0
                break
            if len(body) + length > self._max_body_bytes:
                raise TooLargeError(f"more than {self._max_body_bytes} bytes")
            chunk = self._reader.read(length)
            if len(chunk) < length:
                raise FramingError("the body ended within a chunk")
            body += chunk
            self._add_framing(_LINE_END)
            if self._reader.read(len(_LINE_END)) != _LINE_END:
                raise FramingError("a chunk is longer than its size")
        return bytes(body)

    def _read_length(self) -> int:
        line = self._read_line(self._limits.chunk_line_bytes, "chunk line")
        size, _, _ = line.partition(b";")
        size = size.rstrip(b" \t")
        if not _SIZE.fullmatch(size):
            raise FramingError(f"{size[:20]!r} is not a chunk size")
        return int(size, 16)

    def _skip_trailers(self) -> None:
        for _ in range(self._limits.trailer_lines + 1):
            if not self._read_line(MAX_TRAILER_BYTES, "trailer"):
                return
        raise TooLargeError(f"more than {self._limits.trailer_lines} trailers")

    def _read_line(self, max_bytes: int, what: str) -> bytes:
        """Return a line without its end."""
        line = self._reader.readline(max_bytes + len(_LINE_END))
        self._add_framing(line)
        if line.endswith(_LINE_END):
            return line[: -len(_LINE_END)]
        if len(line) >= max_bytes + len(_LINE_END):
            raise TooLargeError(f"a {what} of more than {max_bytes} bytes")
        raise FramingError(f"a {what} without CRLF")

    def _add_framing(self, data: bytes) -> None:
        self._framing_bytes += len(data)
        if self._framing_bytes > self._limits.framing_bytes:
            raise TooLargeError(f"framing of over {self._limits.framing_bytes} bytes")
