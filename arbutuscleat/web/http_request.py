"""HTTP requests, parsed once from the WSGI environment.

Request handlers receive an `HttpRequest` with the complete body; they never read from
the connection themselves.
"""

from collections.abc import Callable
from dataclasses import dataclass, field
from urllib.parse import unquote

from .chunked_body import TooLargeError

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

CONNECTION_KEY = "arbutuscleat.connection"
"""WSGI environment key of the connection, which counts refusals."""


class BodyError(Exception):
    """A request body that ended early, could not be read, or is too large.

    Parameters
    ----------
    detail : str
        What is wrong with it.
    status : int, default=400
        HTTP status of the refusal.
    """

    def __init__(self, detail: str, status: int = 400):
        super().__init__(detail)
        self.status = status


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
        If the body cannot be read, is too large or shorter than its Content-Length.
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
    except TooLargeError as exc:
        raise _body_error(environ, f"the body is too large: {exc}", 413) from exc
    except (OSError, ValueError) as exc:
        raise _body_error(environ, f"the body could not be read: {exc}") from exc
    if len(body) != length:
        detail = f"the body ended after {len(body)} of {length} bytes"
        raise _body_error(environ, detail)
    return body


def _body_error(environ: dict, detail: str, status: int = 400) -> BodyError:
    """Return the error, which is counted unless the client was too slow."""
    conn = environ.get(CONNECTION_KEY)
    if conn is not None and conn.is_overdue:
        return BodyError("the body did not arrive in time", 408)
    if conn is not None:
        conn.count_refusal("too_large" if status == 413 else "malformed")
    return BodyError(detail, status)
