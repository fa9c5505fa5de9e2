"""Who is calling: bearer tokens, compared in constant time."""

import hmac
from collections.abc import Mapping

from arbutuscleat.web.http_request import HttpRequest

_SCHEME = "bearer "


def token_owner(request: HttpRequest, tokens: Mapping[str, str]) -> str | None:
    """Return the name whose token `request` carries, or None.

    Every token is compared, so the time taken does not tell which one is near.
    """
    header = request.headers.get("authorization", "")
    if not header.lower().startswith(_SCHEME):
        return None
    presented = header[len(_SCHEME) :].strip().encode()
    owner = None
    for name, token in tokens.items():
        if hmac.compare_digest(presented, token.encode()):
            owner = name
    return owner
