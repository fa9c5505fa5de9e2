"""HTTP requests, parsed once from the WSGI environment.

Request handlers receive an `HttpRequest` with the complete body; they never read from
the connection themselves.
"""

from collections.abc import Callable
from dataclasses import dataclass, field
from urllib.parse import unquote

_HEADER_PREFIX = "HTTP_"

# Hop-by-hop headers (RFC 9110, section 7.6.1) and headers that the HTTP libraries
# set themselves.
HOP_BY_HOP_HEADERS = frozenset(
    {
        "connection",
        "content-length",
        "host",
        "keep-alive",
        "proxy-authenticate",
        "proxy-authorization",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
        "expect",
    }
)


# WSGI environment key of a callable that returns whether the client has disconnected.
ABANDONED_KEY = "arbutuscleat.is_abandoned"


class BodyError(Exception):
    """A request body that ended early or could not be read."""


@dataclass(frozen=True)
class HttpRequest:
    """One HTTP request.

    Parameters
    ----------
    method : str
        The HTTP method.
    target : str
        Path and query as sent, not decoded.
    headers : dict of str to str
        Headers by lower-case name.
    body : bytes
        The complete body.
    is_abandoned : callable
        Returns whether the client has closed the connection.
    """

    method: str
    target: str
    headers: dict[str, str]
    body: bytes
    is_abandoned: Callable[[], bool] = field(default=lambda: False, compare=False)

    @property
    def segments(self) -> list[str]:
        """The non-empty segments of the path, percent-decoded."""
        path = self.target.partition("?")[0]
        return [unquote(part) for part in path.split("/") if part]

    def end_to_end_headers(self) -> tuple[tuple[str, str], ...]:
        """Return the headers that a proxy forwards."""
        connection_options = self.headers.get("connection", "").lower()
        dropped = HOP_BY_HOP_HEADERS | {
            part.strip() for part in connection_options.split(",")
        }
        return tuple(
            (name, value) for name, value in self.headers.items() if name not in dropped
        )


def read_request(environ: dict) -> HttpRequest:
    """Return the request of a WSGI environment.

    Parameters
    ----------
    environ : dict
        The WSGI environment (PEP 3333).

    Returns
    -------
    HttpRequest
        The request with its complete body.

    Raises
    ------
    BodyError
        If the body cannot be read or is shorter than its Content-Length.
    """
    headers = {
        key[len(_HEADER_PREFIX) :].lower().replace("_", "-"): value
        for key, value in environ.items()
        if key.startswith(_HEADER_PREFIX)
    }
    if environ.get("CONTENT_TYPE"):
        headers["content-type"] = environ["CONTENT_TYPE"]
    return HttpRequest(
        method=environ["REQUEST_METHOD"],
        target=environ.get("REQUEST_URI") or environ["PATH_INFO"],
        headers=headers,
        body=_read_body(environ),
        is_abandoned=environ.get(ABANDONED_KEY, _never_abandoned),
    )


def _never_abandoned() -> bool:
    return False


def _read_body(environ: dict) -> bytes:
    length = int(environ.get("CONTENT_LENGTH") or 0)
    chunked = "chunked" in environ.get("HTTP_TRANSFER_ENCODING", "").lower()
    if not length and not chunked:
        return b""
    try:
        if chunked:
            return environ["wsgi.input"].read()
        body = environ["wsgi.input"].read(length)
    except (OSError, ValueError) as exc:
        raise BodyError(f"the body could not be read: {exc}") from exc
    if len(body) != length:
        raise BodyError(f"the body ended after {len(body)} of {length} bytes")
    return body
