"""A small HTTP/1.1 server with JSON bodies that can be cut off like a crash."""

import json
import socket
import struct
import threading
from collections.abc import Callable
from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer
from typing import Any

Answer = tuple[int, Any]
Handle = Callable[[str, str, dict[str, str], Any], Answer]
"""Takes method, path, headers with names in lower case, and the JSON body."""

_RESET = struct.pack("ii", 1, 0)


class _Server(ThreadingHTTPServer):
    daemon_threads = True
    allow_reuse_address = True
    request_queue_size = 128


class HttpService:
    """Serves a function over HTTP.

    Parameters
    ----------
    host : str
        Loopback address.
    port : int
        Port; 0 selects a free one.
    handle : callable
        Answers the requests.
    """

    def __init__(self, host: str, port: int, handle: Handle):
        self._connections: set[socket.socket] = set()
        self._lock = threading.Lock()
        service = self

        class Handler(BaseHTTPRequestHandler):
            protocol_version = "HTTP/1.1"
            wbufsize = -1
            disable_nagle_algorithm = True

            def setup(self):
                super().setup()
                with service._lock:
                    service._connections.add(self.connection)

            def finish(self):
                with service._lock:
                    service._connections.discard(self.connection)
                try:
                    super().finish()
                except OSError:
                    pass

            def handle(self):
                try:
                    super().handle()
                except OSError:
                    pass  # Reset by either side.

            def log_message(self, *args):
                pass

            def _answer(self):
                size = int(self.headers.get("Content-Length") or 0)
                body = self.rfile.read(size) if size else b""
                headers = {k.lower(): v for k, v in self.headers.items()}
                try:
                    tree = json.loads(body) if body else None
                except ValueError:
                    tree = None
                status, content = handle(self.command, self.path, headers, tree)
                data = b"" if content is None else json.dumps(content).encode()
                self.send_response(status)
                self.send_header("Content-Type", "application/json")
                self.send_header("Content-Length", str(len(data)))
                self.end_headers()
                self.wfile.write(data)

            do_GET = do_POST = do_PUT = do_DELETE = _answer

        self._server = _Server((host, port), Handler)
        self.host, self.port = self._server.server_address[:2]
        self._thread = threading.Thread(
            target=self._server.serve_forever, args=(0.05,), daemon=True
        )

    @property
    def address(self) -> str:
        """Host and port."""
        return f"{self.host}:{self.port}"

    def start(self) -> None:
        """Start serving."""
        self._thread.start()

    def crash(self) -> None:
        """Close the port and reset all connections."""
        if self._thread.is_alive():
            self._server.shutdown()
        self._server.server_close()
        with self._lock:
            connections = list(self._connections)
        for conn in connections:
            try:
                conn.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _RESET)
                conn.shutdown(socket.SHUT_RDWR)
                conn.close()
            except OSError:
                pass
