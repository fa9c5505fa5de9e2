"""Header lines as RFC 9112 demands them.

What cheroot lets pass here could be read in two ways by two servers on a path, and one
request could then be taken for two (RFC 9112, section 11.2).
"""

import re
from functools import lru_cache

from cheroot.server import HeaderReader

_NAME = re.compile(rb"[!#$%&'*+.^_`|~0-9A-Za-z-]+")
_LENGTH = re.compile(rb"[0-9]{1,15}")
CACHED_NAMES = 64
"""Header names kept in memory: more than requests usually have."""

_CONTENT_LENGTH = b"Content-Length"
_TRANSFER_ENCODING = b"Transfer-Encoding"
_SINGLE = frozenset((_CONTENT_LENGTH, _TRANSFER_ENCODING, b"Host"))


class _Headers(dict):
    """Headers of which some may occur only once; the values of others are joined.

    That is what RFC 9110, section 5.3, provides for. cheroot keeps the last value of
    most headers, so that two processes on the way could each read another one; it
    joins those of the others before it stores them.
    """

    def __setitem__(self, name: bytes, value: bytes) -> None:
        if name in _SINGLE and name in self:
            raise ValueError(f"more than one {name.decode()} header")
        if name in self and not value.startswith(self[name] + b", "):
            value = b", ".join((self[name], value))
        super().__setitem__(name, value)


class StrictHeaderReader(HeaderReader):
    """Refuses headers with which the length of a body would be ambiguous.

    Names with an underscore are left out: the application could not tell them from
    those with a hyphen (PEP 3333).
    """

    def __call__(self, rfile, hdict=None):
        """Read the headers of one request.

        Raises
        ------
        ValueError
            If a header is malformed, or the length of the body ambiguous.
        """
        try:
            headers = super().__call__(rfile, _Headers())
        except UnboundLocalError as exc:  # cheroot expects a header before it.
            raise ValueError("the first header line is a continuation") from exc
        length = headers.get(_CONTENT_LENGTH)
        coding = headers.get(_TRANSFER_ENCODING)
        if length is not None and not _LENGTH.fullmatch(length):
            raise ValueError("Content-Length is not a number")
        if length is not None and coding is not None:
            raise ValueError("both Content-Length and Transfer-Encoding")
        if coding is not None and coding.lower() != b"chunked":
            raise ValueError("Transfer-Encoding is not chunked")
        if hdict is not None:
            hdict.update(headers)
        return headers

    def _allow_header(self, key_name):
        # The connection answers the expectation before the parser sees the request.
        return b"_" not in key_name and key_name.lower() != b"expect"

    def _transform_key(self, key_name):
        return _canonical_name(key_name)


@lru_cache(maxsize=CACHED_NAMES)
def _canonical_name(name: bytes) -> bytes:
    """Return a header name as the WSGI environment needs it.

    Raises
    ------
    ValueError
        If it is not a token.
    """
    if not _NAME.fullmatch(name):
        raise ValueError("a header name is not a token")
    return name.title()
