"""Parsing and answering of one request, with limits on its size.

Requests that are malformed or too large are answered with problem details.
"""

import time

from cheroot.server import HTTPRequest, KnownLengthRFile

from arbutuscleat.core import RefusalReason

from .chunked_body import ChunkedBody
from .problem import refuse
from .strict_headers import StrictHeaderReader

CROWDED_OUT = "503 Service Unavailable"
RETRY_AFTER_SECONDS = 2
"""Longer than incomplete requests may take while memory is scarce."""

_REASONS = {
    413: RefusalReason.TOO_LARGE,
    414: RefusalReason.TOO_LARGE,
    503: RefusalReason.OVERLOADED,
}
_COUNTED_AS = {408: "time", 413: "too_large", 414: "too_large"}


class ProblemRequest(HTTPRequest):
    """Answers malformed requests with problem details."""

    header_reader = StrictHeaderReader()

    def read_request_headers(self):
        """Read the headers; refuse bodies that the server does not take."""
        if not super().read_request_headers():
            return False
        if self.conn.is_crowded_out:
            self.simple_response(CROWDED_OUT, "too many requests are arriving")
            return False
        coding = self.inheaders.get(b"Transfer-Encoding")
        if coding is not None and not self.chunked_read:
            self.simple_response("400 Bad Request", "Transfer-Encoding in HTTP/1.0")
            return False
        has_body = self.chunked_read or self._content_length() > 0
        if has_body and not self.server.max_request_body_size:
            self.simple_response("413 Request Entity Too Large", "no body is accepted")
            return False
        if has_body:
            self.conn.body_began_at = time.monotonic()
        return True

    def respond(self):
        """Let the application answer; the body is read within the limits."""
        rfile = self.conn.rfile
        if self.chunked_read:
            max_bytes = self.server.max_request_body_size
            self.rfile = ChunkedBody(rfile, max_bytes, self.server.limits)
        else:
            self.rfile = KnownLengthRFile(rfile, self._content_length())
        self.server.gateway(self).respond()
        if self.ready:
            self.ensure_headers_sent()
        if self.chunked_write:
            self.conn.wfile.write(b"0\r\n\r\n")

    def send_headers(self):
        """Send the headers; without a whole chunked body, the connection ends."""
        if self.chunked_read and self.rfile.remaining:
            self.close_connection = True
            self.conn.has_unread_input = True
        self.conn.write_began_at = time.monotonic()
        super().send_headers()

    def simple_response(self, status, msg=""):
        """Answer with problem details and end the connection."""
        code = int(str(status)[:3])
        if code < 400:
            super().simple_response(status, msg)
            return
        if self.conn.is_overdue:
            code, status, msg = 408, "408 Request Timeout", "too slow"
        elif self.conn.is_crowded_out:
            self.conn.count_refusal("buffers")
        else:
            self.conn.count_refusal(_COUNTED_AS.get(code, "malformed"))
        detail = msg if isinstance(msg, str) and msg else str(status)[4:]
        reason = _REASONS.get(code, RefusalReason.BAD_REQUEST)
        response = refuse(reason, detail, code)
        self.close_connection = True
        lines = [f"HTTP/1.1 {status}", f"Content-Length: {len(response.body)}"]
        lines += [f"{name}: {value}" for name, value in response.headers]
        if code == 503:
            lines.append(f"Retry-After: {RETRY_AFTER_SECONDS}")
        lines += ["Connection: close", "", ""]
        self.conn.write_began_at = time.monotonic()
        try:
            self.conn.wfile.write("\r\n".join(lines).encode() + response.body)
        except OSError:
            return  # The client has closed the connection.
        self.conn.has_unread_input = True

    def _content_length(self):
        return int(self.inheaders.get(b"Content-Length", 0))
