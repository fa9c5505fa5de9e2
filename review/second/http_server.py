"""A small HTTP/1.1 server with JSON bodies, for the stand-ins."""

import json
from collections.abc import Callable
from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer
from typing import Any

Handle = Callable[[str, str, dict[str, str], dict[str, Any]], tuple[int, Any]]
"""Answers method, path, headers by lower-case name and body with status and body."""


class JsonServer(ThreadingHTTPServer):
    """Serves a handler on one address.

    Parameters
    ----------
    address : tuple of str and int
        The address to listen on.
    handle : callable
        Answers each request.
    """

    daemon_threads = True
    request_queue_size = 256

    def __init__(self, address: tuple[str, int], handle: Handle):
        self.handle = handle
        super().__init__(address, _Handler)

    def handle_error(self, request: Any, client_address: Any) -> None:
        """Do nothing: callers may disconnect at any time."""


class _Handler(BaseHTTPRequestHandler):
    protocol_version = "HTTP/1.1"
    disable_nagle_algorithm = True
    wbufsize = -1

    def do_GET(self) -> None:
        self._serve()

    def do_POST(self) -> None:
        self._serve()

    def _serve(self) -> None:
        length = int(self.headers.get("Content-Length") or 0)
        body = self.rfile.read(length) if length else b""
        headers = {name.lower(): value for name, value in self.headers.items()}
        tree = json.loads(body) if body else {}
        status, content = self.server.handle(self.command, self.path, headers, tree)
        data = json.dumps(content).encode()
        self.send_response_only(status)
        self.send_header("Content-Type", "application/json")
        self.send_header("Content-Length", str(len(data)))
        self.end_headers()
        self.wfile.write(data)

    def log_message(self, *_: Any) -> None:
        """Do not log."""
