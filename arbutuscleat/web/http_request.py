"""HTTP requests as the fronts see them: parsed once at the border."""

from collections.abc import Callable
from dataclasses import dataclass, field
from urllib.parse import unquote

_HEADER_PREFIX = "HTTP_"

# Headers that end at each hop (RFC 9110, section 7.6.1), and those that the
# libraries set anew.
HOP_BY_HOP = frozenset(
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


# Where the server leaves a callable that tells whether the client has hung up.
ABANDONED_KEY = "arbutuscleat.is_abandoned"


class BodyError(Exception):
    """The body ended early or could not be read."""


@dataclass(frozen=True)
class HttpRequest:
    """One HTTP request.

    Parameters
    ----------
    method : str
        The method.
    target : str
        Path and query as sent.
    headers : dict of str to str
        Headers by lower-case name.
    body : bytes
        The whole body.
    is_abandoned : callable
        Tells whether the client has hung up.
    """

    method: str
    target: str
    headers: dict[str, str]
    body: bytes
    is_abandoned: Callable[[], bool] = field(default=lambda: False, compare=False)

    @property
    def segments(self) -> list[str]:
        """The parts of the path, percent-decoded."""
        path = self.target.partition("?")[0]
        return [unquote(part) for part in path.split("/") if part]

    def end_to_end_headers(self) -> tuple[tuple[str, str], ...]:
        """Return the headers that are passed on."""
        named = self.headers.get("connection", "").lower()
        ends_here = HOP_BY_HOP | {part.strip() for part in named.split(",")}
        return tuple(
            (name, value)
            for name, value in self.headers.items()
            if name not in ends_here
        )


def read_request(environ: dict) -> HttpRequest:
    """Return the request of a WSGI environment.

    Raises
    ------
    BodyError
        If the body is shorter than announced.
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
        is_abandoned=environ.get(ABANDONED_KEY, _never),
    )


def _never() -> bool:
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
