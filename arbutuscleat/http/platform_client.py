"""The HTTP client for the platform.

``PUT {base}/v1/instances/{instance}/operations/{operation}`` with the kind starts an
operation and returns its state.  The request is idempotent: repeating it with the same
operation id returns the current state.
"""

import json
from urllib.parse import quote

import urllib3
from returns.result import Failure, Result, Success

from arbutuscleat.maintenance import (
    OperationKind,
    OperationState,
    Platform,
    PlatformError,
)

REQUEST_TIMEOUT_SECONDS = 2.0


class HttpPlatform(Platform):
    """Requests operations on instances over HTTP.

    Parameters
    ----------
    base_url : str
        Base URL of the platform.
    token : str
        Bearer token that this process presents.
    """

    def __init__(self, base_url: str, token: str):
        self._base_url = base_url.rstrip("/")
        self._headers = {"Authorization": f"Bearer {token}"}
        self._http = urllib3.PoolManager(retries=False)

    def operate(
        self, kind: OperationKind, instance_id: str, operation_id: str
    ) -> Result[OperationState, PlatformError]:
        """Start an operation, or return the state of one that was started before.

        Parameters
        ----------
        kind : OperationKind
            What the platform shall do.
        instance_id : str
            The instance to operate on.
        operation_id : str
            Id of the operation; makes the request idempotent.

        Returns
        -------
        Result of OperationState or PlatformError
            The state, or why the platform gave none.
        """
        path = f"/v1/instances/{quote(instance_id, '')}/operations/"
        try:
            response = self._http.request(
                "PUT",
                f"{self._base_url}{path}{quote(operation_id, '')}",
                body=json.dumps({"kind": kind.value}).encode(),
                headers=self._headers,
                timeout=REQUEST_TIMEOUT_SECONDS,
            )
            if response.status != 200:
                return Failure(PlatformError(f"status {response.status}"))
            return Success(OperationState(response.json()["state"]))
        except (urllib3.exceptions.HTTPError, ValueError, KeyError) as exc:
            return Failure(PlatformError(str(exc)))


class NoPlatform(Platform):
    """Used if no platform is configured: operations fail, so nothing is rebooted."""

    def operate(
        self, kind: OperationKind, instance_id: str, operation_id: str
    ) -> Result[OperationState, PlatformError]:
        """Return an error, as no platform is configured."""
        return Failure(PlatformError("no platform is configured"))
