"""Processor time of a call to a worker through the platform adapter's HTTP client.

The leader makes several calls for each run, so this time bounds how many runs it can
start.  The server answers from another process and is not counted.
"""

import argparse
import multiprocessing
import socket
import statistics
import sys
import time
from multiprocessing.connection import Connection
from pathlib import Path

from arbutuscleat.wire import Address

sys.path.insert(0, str(Path(__file__).parent.parent / "platform"))

from berthline.http_calls import HttpCalls  # noqa: E402

BODY = b'{"clock-ms":482113,"running":[],"finished":[]}'
ANSWER = (
    b"HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n"
    b"Date: Fri, 04 Dec 2026 20:00:00 GMT\r\nContent-Length: %d\r\n\r\n%s"
) % (len(BODY), BODY)
CONTENT = {
    "task": "5c0e7a21d94b36f8.0.1.17",
    "run-id": 2,
    "spec": "s" * 200,
    "expires-ms": 486_000,
    "fencing-token": 7,
}
MAX_REQUEST_BYTES = 65_536


def serve(port_out: Connection) -> None:
    """Answer each request of one connection; a request fits into one read."""
    with socket.create_server(("127.0.0.1", 0)) as listener:
        port_out.send(listener.getsockname()[1])
        conn, _ = listener.accept()
        with conn:
            while conn.recv(MAX_REQUEST_BYTES):
                conn.sendall(ANSWER)


def microseconds_per_call(calls: HttpCalls, count: int) -> float:
    """Return the processor time of the calling thread for each of `count` calls."""
    started = time.thread_time()
    for _ in range(count):
        assert calls.call("POST", "/v1/run-start", CONTENT, 1.0).status == 200
    return 1_000_000 * (time.thread_time() - started) / count


def main() -> int:
    """Run the benchmark and print its results."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--calls", type=int, default=4_000)
    parser.add_argument("--rounds", type=int, default=7)
    options = parser.parse_args()
    port_in, port_out = multiprocessing.Pipe(duplex=False)
    server = multiprocessing.Process(target=serve, args=(port_out,), daemon=True)
    server.start()
    headers = {"X-Arbutuscleat-Expected-Instance": "i-7f3a91c2"}
    calls = HttpCalls(Address("127.0.0.1", port_in.recv()), headers)
    times = [microseconds_per_call(calls, options.calls) for _ in range(options.rounds)]
    calls.close()
    server.join()
    print(
        f"processor time of a call: median {statistics.median(times):.0f} us, "
        f"{min(times):.0f} to {max(times):.0f} ({options.rounds} rounds of "
        f"{options.calls} calls)"
    )
    return 0


if __name__ == "__main__":
    sys.exit(main())
