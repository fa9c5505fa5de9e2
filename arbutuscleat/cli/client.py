"""The HTTP client of the command line: tries the given addresses in order."""

import json
from dataclasses import dataclass
from typing import Any

import urllib3
from returns.result import Failure, Result, Success

CONNECT_TIMEOUT_SECONDS = 1.0
READ_TIMEOUT_SECONDS = 15.0


@dataclass(frozen=True)
class Reply:
    """The answer of a daemon.

    Parameters
    ----------
    status : int
        The HTTP status.
    content : object
        The decoded JSON body.
    """

    status: int
    content: Any

    def succeeded(self) -> bool:
        """Return whether the daemon accepted the request."""
        return self.status == 200


@dataclass(frozen=True)
class NoReply:
    """No daemon answered.

    Parameters
    ----------
    detail : str
        The error of each address.
    """

    detail: str


class OperatorClient:
    """Calls the operator API of the first daemon that answers.

    Parameters
    ----------
    addresses : list of str
        Base URLs of daemons, such as ``http://127.0.0.1:8080``.
    token : str
        The operator's token.
    """

    def __init__(self, addresses: list[str], token: str):
        self._addresses = addresses
        self._headers = {"Authorization": f"Bearer {token}"}
        self._http = urllib3.PoolManager(retries=False)

    def get(self, path: str) -> Result[Reply, NoReply]:
        """Read the resource at `path`."""
        return self._request("GET", path, None)

    def put(self, path: str, content: Any) -> Result[Reply, NoReply]:
        """Send a change; it carries an id, so sending it again is safe."""
        return self._request("PUT", path, json.dumps(content).encode())

    def _request(
        self, method: str, path: str, body: bytes | None
    ) -> Result[Reply, NoReply]:
        errors = []
        for address in self._addresses:
            try:
                response = self._http.request(
                    method,
                    address.rstrip("/") + path,
                    body=body,
                    headers=self._headers,
                    timeout=urllib3.Timeout(
                        connect=CONNECT_TIMEOUT_SECONDS, read=READ_TIMEOUT_SECONDS
                    ),
                )
                return Success(Reply(response.status, json.loads(response.data)))
            except (urllib3.exceptions.HTTPError, ValueError) as exc:
                errors.append(f"{address}: {exc}")
        return Failure(NoReply("; ".join(errors)))
