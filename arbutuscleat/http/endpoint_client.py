"""The HTTP client for endpoints: urllib3 connections without retries.

The connection is made before the request is sent, so that it is known whether any byte
was sent.  A connection is not reused after a timeout or an incomplete answer.  An
answer is accepted only if it is complete: its declared length was read, or its final
chunk.
"""

from http.client import HTTPException

from returns.result import Failure, Result, Success
from urllib3.connection import HTTPConnection
from urllib3.exceptions import HTTPError
from urllib3.response import HTTPResponse

from arbutuscleat.core import Clock, Deadline, Instance
from arbutuscleat.routing import (
    Answer,
    DispatchError,
    DispatchErrorKind,
    EndpointClient,
    Request,
)
from arbutuscleat.telemetry import TRACEPARENT, current_traceparent
from arbutuscleat.web.http_request import HOP_BY_HOP_HEADERS

from .endpoint_connections import EndpointConnections

REQUEST_ID_HEADER = "Arbutuscleat-Request-Id"
READ_CHUNK_BYTES = 256 * 1024
MIN_TIMEOUT_SECONDS = 0.001
BODILESS_STATUSES = (204, 304)

_NETWORK_ERRORS = (HTTPError, HTTPException, OSError)


class UrllibEndpointClient(EndpointClient):
    """Sends requests to endpoints over HTTP.

    Parameters
    ----------
    clock : Clock
        Source of time.
    connect_timeout : float
        Time limit for a new connection, in seconds.
    max_answer_bytes : int
        Maximum size of the body of one answer, in bytes.
    """

    def __init__(self, clock: Clock, connect_timeout: float, max_answer_bytes: int):
        self._clock = clock
        self._connect_timeout = connect_timeout
        self._max_answer_bytes = max_answer_bytes
        self._connections = EndpointConnections(clock)

    def send(
        self, instance: Instance, req: Request, request_id: str, timeout: float
    ) -> Result[Answer, DispatchError]:
        """Send a request once and read the complete answer.

        Parameters
        ----------
        instance : Instance
            The instance whose endpoint receives the request.
        req : Request
            The request.
        request_id : str
            Unique id of this dispatch; an answer that echoes another id is rejected.
        timeout : float
            Time limit in seconds for the whole exchange.

        Returns
        -------
        Result of Answer or DispatchError
            The answer, or the point at which the dispatch failed.
        """
        deadline = Deadline.after(self._clock, timeout)
        conn = self._connections.acquire(instance)
        if conn.sock is None:
            try:
                conn.timeout = min(self._connect_timeout, _remaining_seconds(deadline))
                conn.connect()
            except _NETWORK_ERRORS as exc:
                conn.close()
                return _failure(DispatchErrorKind.NOT_SENT, instance, str(exc))
        result = self._exchange(conn, instance, req, request_id, deadline)
        if isinstance(result, Success):
            self._connections.release(instance, conn)
        else:
            conn.close()
        return result

    def close(self) -> None:
        """Close idle connections."""
        self._connections.close()

    def _exchange(
        self,
        conn: HTTPConnection,
        instance: Instance,
        req: Request,
        request_id: str,
        deadline: Deadline,
    ) -> Result[Answer, DispatchError]:
        try:
            conn.timeout = _remaining_seconds(deadline)
            conn.request(
                req.method,
                req.path,
                body=req.body or None,
                headers=_request_headers(req, request_id),
                preload_content=False,
                decode_content=False,
            )
            response = conn.getresponse()
            error = _check_response_head(instance, req, request_id, response)
            if error is not None:
                return error
            return self._read_body(instance, response, deadline)
        except _NETWORK_ERRORS as exc:
            detail = str(exc) or type(exc).__name__
            return _failure(DispatchErrorKind.LOST, instance, detail)

    def _read_body(
        self, instance: Instance, response: HTTPResponse, deadline: Deadline
    ) -> Result[Answer, DispatchError]:
        chunks = []
        size = 0
        while response.length_remaining != 0:
            chunk = response.read1(READ_CHUNK_BYTES)
            if not chunk:
                break
            chunks.append(chunk)
            size += len(chunk)
            if size > self._max_answer_bytes:
                detail = f"the answer is larger than {self._max_answer_bytes} bytes"
                return _failure(DispatchErrorKind.TOO_LARGE, instance, detail)
            if deadline.expired():
                detail = "the answer was incomplete at the deadline"
                return _failure(DispatchErrorKind.LOST, instance, detail)
        # urllib3 returns the last bytes before it has read the end of the answer.
        response.read()
        return Success(_make_answer(instance, response, b"".join(chunks)))


def _remaining_seconds(deadline: Deadline) -> float:
    return max(MIN_TIMEOUT_SECONDS, deadline.remaining())


def _request_headers(req: Request, request_id: str) -> dict[str, str]:
    headers = dict(req.headers)
    headers[REQUEST_ID_HEADER] = request_id
    traceparent = current_traceparent()
    if traceparent:
        headers[TRACEPARENT] = traceparent
    return headers


def _check_response_head(
    instance: Instance, req: Request, request_id: str, response: HTTPResponse
) -> Failure[DispatchError] | None:
    echoed = response.headers.get(REQUEST_ID_HEADER, request_id)
    if echoed != request_id:
        detail = "the answer carries another request id"
        return _failure(DispatchErrorKind.CROSSED, instance, detail)
    bodiless = req.method == "HEAD" or response.status in BODILESS_STATUSES
    if bodiless or response.chunked or response.length_remaining is not None:
        return None
    detail = "the answer has no length, so a truncated one would go unnoticed"
    return _failure(DispatchErrorKind.LOST, instance, detail)


def _make_answer(instance: Instance, response: HTTPResponse, body: bytes) -> Answer:
    headers = tuple(
        (name, value)
        for name, value in response.headers.items()
        if name.lower() not in HOP_BY_HOP_HEADERS
    )
    return Answer(response.status, headers, body, instance.instance_id)


def _failure(
    kind: DispatchErrorKind, instance: Instance, detail: str
) -> Failure[DispatchError]:
    return Failure(DispatchError(kind, f"{instance.instance_id}: {detail}"))
