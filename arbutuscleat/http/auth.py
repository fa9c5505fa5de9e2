"""Authentication by bearer tokens, compared in constant time."""

import hmac
from collections.abc import Mapping

from arbutuscleat.web.http_request import HttpRequest

_SCHEME_PREFIX = "bearer "


def token_owner(request: HttpRequest, tokens: Mapping[str, str]) -> str | None:
    """Return the name whose token `request` carries, or None.

    The token is compared with all known tokens, so the response time does not reveal
    which of them is similar.

    Parameters
    ----------
    request : HttpRequest
        The request, with the token in its ``Authorization`` header.
    tokens : mapping of str to str
        Known tokens by the name of their owner.
    """
    header = request.headers.get("authorization", "")
    if not header.lower().startswith(_SCHEME_PREFIX):
        return None
    presented = header[len(_SCHEME_PREFIX) :].strip().encode()
    owner = None
    for name, token in tokens.items():
        if hmac.compare_digest(presented, token.encode()):
            owner = name
    return owner
