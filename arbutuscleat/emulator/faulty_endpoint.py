"""Emulated endpoint that injects faults and counts the runs of each key.

It writes to the connection directly, because a WSGI server would not allow it to
violate the protocol.
"""

import argparse
import hashlib
import json
import random
import signal
import socket
import struct
import sys
import threading
import time
from collections import Counter
from collections.abc import Callable
from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer

from arbutuscleat.telemetry import configure_logs

from .announcer import Announcer, add_endpoint_options, announcement
from .faults import EndpointFault
from .ports import LOOPBACK

RUNS_PATH = "/runs"
KEY_HEADER = "Idempotency-Key"
REQUEST_ID_HEADER = "Arbutuscleat-Request-Id"
SLOW_SECONDS = 0.5
HANG_SECONDS = 600.0
_RESET = struct.pack("ii", 1, 0)


def answer_digest(key: str, body: bytes) -> str:
    """Return the answer expected for a request, so that callers can verify it."""
    return hashlib.sha256(key.encode() + b"\0" + body).hexdigest()


class FaultyEndpoint:
    """HTTP endpoint that injects the faults that `choose` returns.

    Parameters
    ----------
    choose : callable
        Returns the fault to inject into the next request.
    run_seconds : float
        Duration of each request.
    port : int
        Port to listen on, on loopback; 0 selects a free port.
    """

    def __init__(
        self,
        choose: Callable[[], EndpointFault],
        run_seconds: float = 0.0,
        port: int = 0,
    ):
        self.choose = choose
        self.run_seconds = run_seconds
        self.runs: Counter[str] = Counter()
        self.most_at_once = 0
        self._active_runs = 0
        self._lock = threading.Lock()
        self.stopping = threading.Event()
        handler = type("Handler", (_Handler,), {"endpoint": self})
        self._server = ThreadingHTTPServer((LOOPBACK, port), handler)
        self._server.daemon_threads = True
        self._thread = threading.Thread(target=self._server.serve_forever, daemon=True)

    @property
    def port(self) -> int:
        """The port on which the endpoint listens."""
        return self._server.server_address[1]

    def start(self) -> None:
        """Start serving."""
        self._thread.start()

    def stop(self) -> None:
        """Stop serving, and release the requests that hang."""
        self.stopping.set()
        self._server.shutdown()
        self._server.server_close()

    def run(self, key: str) -> None:
        """Run one request and count the run."""
        with self._lock:
            self.runs[key] += 1
            self._active_runs += 1
            self.most_at_once = max(self.most_at_once, self._active_runs)
        if self.run_seconds:
            time.sleep(self.run_seconds)
        with self._lock:
            self._active_runs -= 1

    def report(self) -> dict:
        """Return the number of runs by key, and the maximum of concurrent runs."""
        with self._lock:
            return {"runs": dict(self.runs), "most_at_once": self.most_at_once}


class _Handler(BaseHTTPRequestHandler):
    """Handles the requests of one connection."""

    protocol_version = "HTTP/1.1"
    # Head and body are written separately; Nagle's algorithm would delay each answer
    # by 40 ms.
    disable_nagle_algorithm = True
    endpoint: FaultyEndpoint

    def _handle(self) -> None:
        body = self.rfile.read(int(self.headers.get("Content-Length") or 0))
        if self.path == RUNS_PATH:
            self._answer(200, json.dumps(self.endpoint.report()).encode())
            return
        fault = self.endpoint.choose()
        if fault is EndpointFault.DROP:
            self._reset()
            return
        key = self.headers.get(KEY_HEADER, "")
        self.endpoint.run(key)
        self._inject(fault, answer_digest(key, body).encode())

    do_GET = do_PUT = do_POST = do_DELETE = do_HEAD = _handle

    def _inject(self, fault: EndpointFault, content: bytes) -> None:
        if fault is EndpointFault.SLOW:
            self.endpoint.stopping.wait(SLOW_SECONDS)
        elif fault is EndpointFault.HANG:
            self.endpoint.stopping.wait(HANG_SECONDS)
        elif fault is EndpointFault.RESET:
            self._reset()
            return
        elif fault in (EndpointFault.HALF, EndpointFault.WRONG_LENGTH):
            self._answer(200, content[: len(content) // 2], len(content))
            self._close()
            return
        elif fault is EndpointFault.NO_LENGTH:
            self._answer(200, content[: len(content) // 2], None)
            self._close()
            return
        elif fault is EndpointFault.CROSSED:
            self._answer(200, content, len(content), "another-request")
            return
        status = 500 if fault is EndpointFault.FAIL else 200
        self._answer(status, content, len(content))

    def _answer(
        self,
        status: int,
        content: bytes,
        length: int | None = -1,
        request_id: str | None = None,
    ) -> None:
        self.send_response(status)
        if length is not None:
            self.send_header(
                "Content-Length", str(len(content) if length < 0 else length)
            )
        request_id = request_id or self.headers.get(REQUEST_ID_HEADER)
        if request_id:
            self.send_header(REQUEST_ID_HEADER, request_id)
        self.end_headers()
        if self.command != "HEAD":
            self.wfile.write(content)
        self.wfile.flush()

    def _reset(self) -> None:
        self.connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _RESET)
        self._close()

    def _close(self) -> None:
        self.close_connection = True
        try:
            self.connection.shutdown(socket.SHUT_RDWR)
        except OSError:
            pass  # The client has already closed the connection.

    def handle_one_request(self) -> None:
        """Serve one request; a disconnected client is not an error."""
        try:
            super().handle_one_request()
        except OSError:
            self.close_connection = True

    def log_message(self, format: str, *args) -> None:
        """Log nothing, since faults are expected here."""


def seeded_faults(seed: str, share: float, names: list[str]) -> Callable:
    """Return a function that chooses the fault of each request.

    Parameters
    ----------
    seed : str
        Seed of the random generator.
    share : float
        Share of the requests that receive a fault.
    names : list of str
        Values of `EndpointFault` to choose from, with equal probability.
    """
    rng = random.Random(seed)
    lock = threading.Lock()
    faults = [EndpointFault(name) for name in names]

    def choose() -> EndpointFault:
        with lock:
            if faults and rng.random() < share:
                return rng.choice(faults)
            return EndpointFault.NONE

    return choose


def main(argv: list[str] | None = None) -> int:
    """Run the endpoint until SIGTERM or SIGINT."""
    parser = argparse.ArgumentParser(prog="arbutuscleat-faulty-endpoint")
    add_endpoint_options(parser)
    parser.add_argument("--fault", action="append", default=[])
    parser.add_argument("--fault-share", type=float, default=0.0)
    parser.add_argument("--seed", default="1")
    options = parser.parse_args(argv)
    configure_logs(options.instance, "warning")
    seed = f"{options.seed}/{options.instance}"
    choose = seeded_faults(seed, options.fault_share, options.fault)
    endpoint = FaultyEndpoint(choose, options.run_ms / 1000.0)
    endpoint.start()
    print(f"listening {endpoint.port}", flush=True)
    stop = threading.Event()
    signal.signal(signal.SIGTERM, lambda *_: stop.set())
    signal.signal(signal.SIGINT, lambda *_: stop.set())
    content = announcement(options, endpoint.port)
    interval = options.interval_ms / 1000.0
    Announcer(options.entry, options.token, content, interval).run(stop)
    endpoint.stop()
    return 0


if __name__ == "__main__":
    sys.exit(main())
