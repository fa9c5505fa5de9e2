"""How far a request reaches, so that it can be collected without a thread.

Only the ends of its parts are looked for. Whatever is malformed or beyond a limit
counts as whole, and the parser then refuses it.
"""

import re

from arbutuscleat.core import ClientLimits

from .chunked_body import MAX_TRAILER_BYTES

_HEAD_END = b"\r\n\r\n"
_LINE_END = b"\r\n"
_HTTP_1_1 = b" HTTP/1.1\r\n"
_LENGTH = re.compile(rb"[0-9]{1,15}")
_CHUNK_SIZE = re.compile(rb"[0-9A-Fa-f]{1,16}")


class RequestExtent:
    """Finds the end of one request in the input that has arrived so far.

    Parameters
    ----------
    max_header_bytes, max_body_bytes : int
        Size limits of the request, in bytes.
    limits : ClientLimits
        Limits of the framing.

    Attributes
    ----------
    has_head : bool
        Whether the headers have arrived in full.
    expects_continue : bool
        Whether the client waits for an interim response before it sends the body
        (RFC 9110, section 10.1.1).
    """

    def __init__(
        self, max_header_bytes: int, max_body_bytes: int, limits: ClientLimits
    ):
        self._max_header_bytes = max_header_bytes
        self._max_body_bytes = max_body_bytes
        self._limits = limits
        self._body_bytes = 0
        self._framing_bytes = 0
        self._trailers = 0
        self._position = 0
        """Where the next part of the body begins: a chunk, or a trailer."""

        self._end: int | None = None
        """Where the request ends; None for a chunked body."""

        self._in_trailers = False
        self._is_refused = False
        self.has_head = False
        self.expects_continue = False

    def is_whole(self, data: bytes) -> bool:
        """Return whether the parser can go on.

        Parameters
        ----------
        data : bytes
            What has arrived, from the beginning of the request on. Each call gets
            what the last one got, and more.
        """
        if not self.has_head:
            end = data.find(_HEAD_END)
            if end < 0:
                return len(data) >= self._max_header_bytes
            self.has_head = True
            self._position = end + len(_HEAD_END)
            self._read_head(data[:end])
        if self._end is not None:
            return len(data) >= self._end
        return self._has_last_chunk(data)

    def _read_head(self, head: bytes) -> None:
        """Find out where the body ends, or that it is chunked."""
        lengths, codings, is_expecting = [], [], False
        for line in head.split(_LINE_END)[1:]:
            name, _, value = line.partition(b":")
            name, value = name.lower(), value.strip(b" \t")
            if name == b"content-length":
                lengths.append(value)
            elif name == b"transfer-encoding":
                codings.append(value.lower())
            elif name == b"expect":
                is_expecting = value.lower() == b"100-continue"
        self._end = self._position
        if codings == [b"chunked"] and not lengths and self._max_body_bytes:
            self._end = None
        elif len(lengths) == 1 and not codings and _LENGTH.fullmatch(lengths[0]):
            length = int(lengths[0])
            self._end += length if length <= self._max_body_bytes else 0
        has_body = self._end != self._position
        self.expects_continue = is_expecting and has_body and _HTTP_1_1 in head

    def _has_last_chunk(self, data: bytes) -> bool:
        """Return whether all chunks and trailers have arrived, or one is refused."""
        while True:
            max_line = self._limits.chunk_line_bytes
            if self._in_trailers:
                max_line = MAX_TRAILER_BYTES
            limit = self._position + max_line + len(_LINE_END)
            end = data.find(b"\n", self._position, limit) + 1
            if not end:
                return len(data) >= limit
            line = data[self._position : end]
            if not line.endswith(_LINE_END):
                return True
            if self._in_trailers:
                self._trailers += 1
                if line == _LINE_END or self._trailers > self._limits.trailer_lines:
                    return True
                self._position = end
                continue
            size = line.partition(b";")[0].rstrip(b" \t\r\n")
            if not _CHUNK_SIZE.fullmatch(size):
                return True
            length = int(size, 16)
            if not length:
                self._in_trailers = True
                self._position = end
            elif not self._skip_chunk(data, end, length, len(line)):
                return self._is_refused

    def _skip_chunk(self, data: bytes, start: int, length: int, framing: int) -> bool:
        """Go to the next chunk; return False if this one is refused or incomplete."""
        end = start + length
        framing += len(_LINE_END)
        if (
            self._body_bytes + length > self._max_body_bytes
            or self._framing_bytes + framing > self._limits.framing_bytes
        ):
            self._is_refused = True
            return False
        if len(data) < end + len(_LINE_END):
            return False
        if data[end : end + len(_LINE_END)] != _LINE_END:
            self._is_refused = True
            return False
        self._body_bytes += length
        self._framing_bytes += framing
        self._position = end + len(_LINE_END)
        return True
