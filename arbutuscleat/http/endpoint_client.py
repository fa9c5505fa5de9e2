"""The HTTP client towards endpoints: urllib3 without retries or redirects.

A connection is never used again after a timeout or a half-read answer.  An
answer counts only when it is whole: its declared length or its final chunk was
seen.
"""

import threading

import urllib3
from returns.result import Failure, Result, Success
from urllib3.exceptions import (
    ConnectTimeoutError,
    HTTPError,
    NewConnectionError,
)

from arbutuscleat.core import Instance
from arbutuscleat.routing import (
    Answer,
    DispatchError,
    DispatchErrorKind,
    EndpointClient,
    Request,
)
from arbutuscleat.telemetry import TRACEPARENT, current_traceparent

from .http_request import HOP_BY_HOP

REQUEST_ID_HEADER = "Arbutuscleat-Request-Id"
READ_CHUNK_BYTES = 256 * 1024
BODILESS_STATUSES = (204, 304)


class UrllibEndpointClient(EndpointClient):
    """Sends requests to endpoints over HTTP.

    Parameters
    ----------
    connect_timeout : float
        Seconds for a new connection.
    max_answer_bytes : int
        Bound of one answer's body.
    """

    def __init__(self, connect_timeout: float, max_answer_bytes: int):
        self._connect_timeout = connect_timeout
        self._max_answer_bytes = max_answer_bytes
        self._lock = threading.Lock()
        self._pools: dict[tuple[str, int], urllib3.HTTPConnectionPool] = {}

    def send(
        self, instance: Instance, req: Request, request_id: str, timeout: float
    ) -> Result[Answer, DispatchError]:
        """Send `req` once and return the whole answer within `timeout` seconds."""
        headers = dict(req.headers)
        headers[REQUEST_ID_HEADER] = request_id
        traceparent = current_traceparent()
        if traceparent:
            headers[TRACEPARENT] = traceparent
        try:
            response = self._pool(instance).urlopen(
                req.method,
                req.path,
                body=req.body or None,
                headers=headers,
                retries=False,
                redirect=False,
                preload_content=False,
                decode_content=False,
                timeout=urllib3.Timeout(
                    total=max(0.001, timeout), connect=self._connect_timeout
                ),
            )
        except (NewConnectionError, ConnectTimeoutError) as exc:
            return _failure(DispatchErrorKind.NOT_SENT, instance, str(exc))
        except (HTTPError, OSError) as exc:
            return _failure(DispatchErrorKind.LOST, instance, str(exc))
        return self._read(instance, req, request_id, response)

    def close(self) -> None:
        """Close idle connections."""
        with self._lock:
            for pool in self._pools.values():
                pool.close()
            self._pools.clear()

    def _pool(self, instance: Instance) -> urllib3.HTTPConnectionPool:
        key = (instance.host, instance.port)
        pool = self._pools.get(key)
        if pool is None:
            with self._lock:
                pool = self._pools.setdefault(
                    key,
                    urllib3.HTTPConnectionPool(
                        instance.host,
                        instance.port,
                        maxsize=instance.connections,
                        block=False,
                    ),
                )
        return pool

    def _read(
        self,
        instance: Instance,
        req: Request,
        request_id: str,
        response: urllib3.BaseHTTPResponse,
    ) -> Result[Answer, DispatchError]:
        error = self._check_head(instance, req, request_id, response)
        if error is not None:
            response.close()
            return error
        body = b""
        try:
            while len(body) <= self._max_answer_bytes:
                chunk = response.read(READ_CHUNK_BYTES)
                if not chunk:
                    response.release_conn()
                    return Success(_answer(instance, response, body))
                body = body + chunk if body else chunk
        except (HTTPError, OSError) as exc:
            response.close()
            return _failure(DispatchErrorKind.LOST, instance, str(exc))
        response.close()
        detail = f"the answer is larger than {self._max_answer_bytes} bytes"
        return _failure(DispatchErrorKind.TOO_LARGE, instance, detail)

    def _check_head(
        self,
        instance: Instance,
        req: Request,
        request_id: str,
        response: urllib3.BaseHTTPResponse,
    ) -> Failure[DispatchError] | None:
        echoed = response.headers.get(REQUEST_ID_HEADER, request_id)
        if echoed != request_id:
            detail = "the answer carries another request id"
            return _failure(DispatchErrorKind.CROSSED, instance, detail)
        bodiless = req.method == "HEAD" or response.status in BODILESS_STATUSES
        chunked = "chunked" in response.headers.get("transfer-encoding", "").lower()
        if not bodiless and not chunked and "content-length" not in response.headers:
            detail = "the answer has no length, so it cannot be known to be whole"
            return _failure(DispatchErrorKind.LOST, instance, detail)
        return None


def _answer(
    instance: Instance, response: urllib3.BaseHTTPResponse, body: bytes
) -> Answer:
    headers = tuple(
        (name, value)
        for name, value in response.headers.items()
        if name.lower() not in HOP_BY_HOP
    )
    return Answer(response.status, headers, body, instance.instance_id)


def _failure(
    kind: DispatchErrorKind, instance: Instance, detail: str
) -> Failure[DispatchError]:
    return Failure(DispatchError(kind, f"{instance.instance_id}: {detail}"))
