"""The platform over HTTP.

``PUT {base}/v1/instances/{instance}/operations/{operation}`` with the kind asks for
an operation and tells its state; asking again under the same id is safe.
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

TIMEOUT_SECONDS = 2.0


class HttpPlatform(Platform):
    """Operations on instances over HTTP.

    Parameters
    ----------
    base : str
        Base address of the platform.
    token : str
        What this process presents.
    """

    def __init__(self, base: str, token: str):
        self._base = base.rstrip("/")
        self._headers = {"Authorization": f"Bearer {token}"}
        self._http = urllib3.PoolManager(retries=False)

    def operate(
        self, kind: OperationKind, instance_id: str, operation_id: str
    ) -> Result[OperationState, PlatformError]:
        """Ask for an operation; asking again under the same id is safe."""
        path = f"/v1/instances/{quote(instance_id, '')}/operations/"
        try:
            response = self._http.request(
                "PUT",
                f"{self._base}{path}{quote(operation_id, '')}",
                body=json.dumps({"kind": kind.value}).encode(),
                headers=self._headers,
                timeout=TIMEOUT_SECONDS,
            )
            if response.status != 200:
                return Failure(PlatformError(f"status {response.status}"))
            return Success(OperationState(response.json()["state"]))
        except (urllib3.exceptions.HTTPError, ValueError, KeyError) as exc:
            return Failure(PlatformError(str(exc)))


class NoPlatform(Platform):
    """Where no platform is set: nothing is ever rebooted."""

    def operate(
        self, kind: OperationKind, instance_id: str, operation_id: str
    ) -> Result[OperationState, PlatformError]:
        """Refuse."""
        return Failure(PlatformError("no platform is set"))
