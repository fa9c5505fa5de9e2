"""A stand-in endpoint: serves HTTP, announces itself and counts every run."""

import argparse
import json
import signal
import sys
import threading
import time
from collections import Counter

import urllib3
from absl import logging

from arbutuscleat.http import HttpServer
from arbutuscleat.telemetry import configure_logs
from arbutuscleat.wire import Address

REQUEST_ID_HEADER = "Arbutuscleat-Request-Id"
ANNOUNCE_TIMEOUT_SECONDS = 2.0
THREADS = 16
MAX_HEADER_BYTES = 64 * 1024
MAX_BODY_BYTES = 16 * 1024 * 1024


class EndpointApplication:
    """The WSGI application of the stand-in.

    Parameters
    ----------
    instance_id : str
        Told in each answer.
    run_seconds : float
        How long each request runs.
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


class Announcer:
    """Announces one endpoint to the entry instances of its data centre, in turn.

    Parameters
    ----------
    entries : list of str
        Base addresses, such as ``http://127.0.0.1:8080``.
    token : str
        The endpoints' token.
    content : dict
        The announcement without state and sequence number.
    interval : float
        Seconds between two announcements.
    """

    def __init__(self, entries: list[str], token: str, content: dict, interval: float):
        self._entries = entries
        self._headers = {"Authorization": f"Bearer {token}"}
        self._content = content
        self._interval = interval
        self._sequence = 0
        self._http = urllib3.PoolManager(retries=False)

    def announce(self, state: str) -> bool:
        """Announce once; return whether an entry instance took it."""
        self._sequence += 1
        content = {**self._content, "state": state, "sequence": self._sequence}
        for attempt in range(len(self._entries)):
            base = self._entries[(self._sequence + attempt) % len(self._entries)]
            try:
                response = self._http.request(
                    "POST",
                    f"{base}/v1/announcements",
                    body=json.dumps(content).encode(),
                    headers=self._headers,
                    timeout=ANNOUNCE_TIMEOUT_SECONDS,
                )
            except urllib3.exceptions.HTTPError:
                continue
            if response.status == 200:
                return True
            logging.warning("announcement refused: %s", response.data[:300])
        return False

    def run(self, stop: threading.Event) -> None:
        """Announce until `stop` is set, then say that the endpoint is leaving."""
        while not stop.is_set():
            self.announce("ready")
            stop.wait(self._interval)
        self.announce("leaving")


def make_parser() -> argparse.ArgumentParser:
    """Return the parser of the stand-in's options."""
    parser = argparse.ArgumentParser(prog="arbutuscleat-endpoint", description=__doc__)
    parser.add_argument("--instance", required=True)
    parser.add_argument("--data-centre", required=True)
    parser.add_argument("--rack", default="rack-1")
    parser.add_argument("--service", action="append", required=True)
    parser.add_argument("--label", action="append", default=[], metavar="KEY=VALUE")
    parser.add_argument("--entry", action="append", default=[], metavar="URL")
    parser.add_argument("--token", default="")
    parser.add_argument("--port", type=int, default=0)
    parser.add_argument("--slots", type=int, default=8)
    parser.add_argument("--run-ms", type=float, default=0.0)
    parser.add_argument("--interval-ms", type=float, default=500.0)
    return parser


def main(argv: list[str] | None = None) -> int:
    """Run the stand-in until SIGTERM."""
    options = make_parser().parse_args(argv)
    configure_logs(options.instance, "warning")
    application = EndpointApplication(options.instance, options.run_ms / 1000.0)
    server = HttpServer(
        Address("127.0.0.1", options.port),
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
        _announcer(options, server.address.port).run(stop)
    stop.wait()
    server.stop()
    return 0


def _announcer(options: argparse.Namespace, port: int) -> Announcer:
    content = {
        "instance_id": options.instance,
        "incarnation": f"{time.time_ns():020d}",
        "host": "127.0.0.1",
        "port": port,
        "data_centre": options.data_centre,
        "rack": options.rack,
        "labels": dict(item.split("=", 1) for item in options.label),
        "services": options.service,
        "slots": options.slots,
        "connections": 64,
    }
    interval = options.interval_ms / 1000.0
    return Announcer(options.entry, options.token, content, interval)


if __name__ == "__main__":
    sys.exit(main())
