"""The command line's HTTP client: tries the given addresses in turn."""

import json
from dataclasses import dataclass
from typing import Any

import urllib3
from returns.result import Failure, Result, Success

CONNECT_SECONDS = 1.0
READ_SECONDS = 15.0


@dataclass(frozen=True)
class Reply:
    """The JSON answer of a daemon."""

    status: int
    content: Any

    def succeeded(self) -> bool:
        """Return whether the daemon did what was asked."""
        return self.status == 200


@dataclass(frozen=True)
class NoReply:
    """No daemon answered."""

    detail: str


class OperatorClient:
    """Talks to the operators' front of any daemon.

    Parameters
    ----------
    addresses : list of str
        Base addresses, such as ``http://127.0.0.1:8080``.
    token : str
        The operator's token.
    """

    def __init__(self, addresses: list[str], token: str):
        self._addresses = addresses
        self._headers = {"Authorization": f"Bearer {token}"}
        self._http = urllib3.PoolManager(retries=False)

    def get(self, path: str) -> Result[Reply, NoReply]:
        """Read something."""
        return self._request("GET", path, None)

    def put(self, path: str, content: Any) -> Result[Reply, NoReply]:
        """Ask for a change; safe to repeat, since a change carries its id."""
        return self._request("PUT", path, json.dumps(content).encode())

    def _request(
        self, method: str, path: str, body: bytes | None
    ) -> Result[Reply, NoReply]:
        problems = []
        for address in self._addresses:
            try:
                response = self._http.request(
                    method,
                    address.rstrip("/") + path,
                    body=body,
                    headers=self._headers,
                    timeout=urllib3.Timeout(connect=CONNECT_SECONDS, read=READ_SECONDS),
                )
                return Success(Reply(response.status, json.loads(response.data)))
            except (urllib3.exceptions.HTTPError, ValueError) as exc:
                problems.append(f"{address}: {exc}")
        return Failure(NoReply("; ".join(problems)))
