"""A small HTTP/1.1 server for the stand-ins, with persistent connections."""

import json
import socket
import struct
import threading
from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer

_NO_LINGER = struct.pack("ii", 1, 0)


class _Server(ThreadingHTTPServer):
    daemon_threads = True
    request_queue_size = 128
    allow_reuse_address = True

    def handle_error(self, request, client_address):
        """Say nothing: a caller has closed its connection."""


class JsonServer:
    """Serves JSON calls on a loopback address.

    Parameters
    ----------
    handle : callable
        Gets method, path, headers and the parsed body; returns a status and the body.
        A status of 0 closes the connection without an answer.
    host : str
        Address to listen on.
    port : int
        Port; 0 selects a free one.
    """

    def __init__(self, handle, host="127.0.0.1", port=0):
        self._connections = set()
        connections = self._connections

        class Handler(BaseHTTPRequestHandler):
            protocol_version = "HTTP/1.1"

            def setup(self):
                connections.add(self.request)
                super().setup()

            def finish(self):
                super().finish()
                connections.discard(self.request)

            disable_nagle_algorithm = True
            wbufsize = -1

            def _serve(self):
                length = int(self.headers.get("Content-Length") or 0)
                data = self.rfile.read(length)
                try:
                    tree = json.loads(data) if data else {}
                except ValueError:
                    tree = {}
                status, content = handle(self.command, self.path, self.headers, tree)
                if not status:
                    self.close_connection = True
                    return
                body = json.dumps(content, separators=(",", ":")).encode()
                self.send_response_only(status)
                self.send_header("Content-Type", "application/json")
                self.send_header("Content-Length", str(len(body)))
                self.end_headers()
                self.wfile.write(body)
                self.wfile.flush()

            do_GET = do_POST = do_PUT = do_DELETE = _serve

            def log_message(self, *args):
                pass

        self._server = _Server((host, port), Handler)
        self.address = "{}:{}".format(*self._server.server_address[:2])
        self._thread = threading.Thread(
            target=self._server.serve_forever, args=(0.05,), daemon=True
        )

    def start(self):
        """Start serving."""
        self._thread.start()

    def stop(self, reset=True):
        """Stop accepting and close the port; reset the open connections.

        Without `reset` they stay open, as when the server's end is not heard of, and
        the caller uses `reset_connections` later.
        """
        self._server.shutdown()
        self._server.server_close()
        if reset:
            self.reset_connections()

    def reset_connections(self):
        """Reset all open connections."""
        for sock in list(self._connections):
            try:
                sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _NO_LINGER)
                sock.shutdown(socket.SHUT_RDWR)
                sock.close()
            except OSError:
                pass  # Closed meanwhile.
