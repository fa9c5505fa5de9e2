"""A minimal HTTP relay: the server and the client of an entry instance, nothing else.

It gives the lower bound for a relay in one process of this interpreter.  What an entry
instance costs beyond that is the cost of routing, admission and claims.
"""

import sys
import threading

from arbutuscleat.core import Instance, SystemClock
from arbutuscleat.emulator import LOOPBACK
from arbutuscleat.http import HttpServer, UrllibEndpointClient
from arbutuscleat.routing import Request
from arbutuscleat.wire import Address


def main() -> int:
    """Relay every request to the endpoint at the port given as an argument."""
    instance = Instance(
        *("worker-1", "1", LOOPBACK, int(sys.argv[1])),
        *("karachi", "rack-1", {}, (), 64, 64),
    )
    client = UrllibEndpointClient(SystemClock(), 1.0, 1024 * 1024)
    request = Request("portal", "GET", "/x", (), b"", {}, "", 10.0)

    def application(environ, start_response):
        answer = client.send(instance, request, "id", 10.0).unwrap()
        length = ("Content-Length", str(len(answer.body)))
        start_response("200 OK", [*answer.headers, length])
        return [answer.body]

    server = HttpServer(Address(LOOPBACK, 0), application, 32, 32768, 1024 * 1024)
    server.start()
    print(f"listening {server.address.port}", flush=True)
    threading.Event().wait()
    return 0


if __name__ == "__main__":
    sys.exit(main())
