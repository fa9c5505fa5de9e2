"""Emulated endpoint: serves HTTP, announces itself and counts the runs of each key."""

import argparse
import json
import signal
import sys
import threading
import time
from collections import Counter

from arbutuscleat.http import HttpServer
from arbutuscleat.telemetry import configure_logs
from arbutuscleat.wire import Address

from .announcer import Announcer, add_endpoint_options, announcement
from .ports import LOOPBACK

REQUEST_ID_HEADER = "Arbutuscleat-Request-Id"
THREADS = 16
MAX_HEADER_BYTES = 64 * 1024
MAX_BODY_BYTES = 16 * 1024 * 1024


class EndpointApplication:
    """WSGI application that describes each request in its answer.

    Parameters
    ----------
    instance_id : str
        The instance id, which each answer contains.
    run_seconds : float
        Duration of each request.
    """

    def __init__(self, instance_id: str, run_seconds: float):
        self._instance_id = instance_id
        self._run_seconds = run_seconds
        self._lock = threading.Lock()
        self.runs: Counter[str] = Counter()

    def __call__(self, environ, start_response):
        """Answer one request (PEP 3333)."""
        body = environ["wsgi.input"].read() if environ.get("CONTENT_LENGTH") else b""
        key = environ.get("HTTP_IDEMPOTENCY_KEY", "")
        with self._lock:
            self.runs[key] += 1
        if self._run_seconds:
            time.sleep(self._run_seconds)
        content = {
            "instance": self._instance_id,
            "method": environ["REQUEST_METHOD"],
            "path": environ.get("REQUEST_URI", ""),
            "body_bytes": len(body),
            "key": key,
        }
        data = json.dumps(content).encode()
        headers = [
            ("Content-Type", "application/json"),
            ("Content-Length", str(len(data))),
        ]
        request_id = environ.get("HTTP_ARBUTUSCLEAT_REQUEST_ID")
        if request_id:
            headers.append((REQUEST_ID_HEADER, request_id))
        start_response("200 OK", headers)
        return [data]


def make_parser() -> argparse.ArgumentParser:
    """Return the parser of the endpoint's options."""
    parser = argparse.ArgumentParser(prog="arbutuscleat-endpoint", description=__doc__)
    add_endpoint_options(parser)
    parser.add_argument("--port", type=int, default=0)
    return parser


def main(argv: list[str] | None = None) -> int:
    """Run the endpoint until SIGTERM or SIGINT."""
    options = make_parser().parse_args(argv)
    configure_logs(options.instance, "warning")
    application = EndpointApplication(options.instance, options.run_ms / 1000.0)
    server = HttpServer(
        Address(LOOPBACK, options.port),
        application,
        THREADS,
        MAX_HEADER_BYTES,
        MAX_BODY_BYTES,
    )
    server.start()
    print(f"listening {server.address.port}", flush=True)
    stop = threading.Event()
    signal.signal(signal.SIGTERM, lambda *_: stop.set())
    signal.signal(signal.SIGINT, lambda *_: stop.set())
    if options.entry:
        content = announcement(options, server.address.port)
        interval = options.interval_ms / 1000.0
        Announcer(options.entry, options.token, content, interval).run(stop)
    stop.wait()
    server.stop()
    return 0


if __name__ == "__main__":
    sys.exit(main())
