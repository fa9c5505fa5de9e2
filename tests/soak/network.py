"""Loopback proxy between the parties: links that are delayed, cut, reset or silenced.

Each link has a listener of its own and one target.  The proxy runs in one thread; its
links may be changed from any thread.
"""

import asyncio
import contextlib
import socket
import struct
import threading
from collections.abc import Callable

from arbutuscleat.wire import Address

FORWARD = "forward"
BACKWARD = "backward"
CHUNK_BYTES = 65_536
CUT_CHECK_SECONDS = 0.02
RESET_ON_CLOSE = struct.pack("ii", 1, 0)


def hold_port(hosts: list[str]) -> dict[str, socket.socket]:
    """Bind one free port on all hosts; a server may listen there while it is held."""
    while True:
        held: dict[str, socket.socket] = {}
        with contextlib.suppress(OSError):
            port = 0
            for host in hosts:
                held[host] = socket.socket()
                held[host].setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
                held[host].bind((host, port))
                port = held[host].getsockname()[1]
            return held
        for sock in held.values():
            sock.close()


class Link:
    """Forwards the connections of one listener to one target."""

    def __init__(self, network: "Network", listener: socket.socket, target: Callable):
        self.delay = 0.0
        self.address = Address(*listener.getsockname())
        self._network = network
        self._target = target
        self._cuts = {FORWARD: 0, BACKWARD: 0}
        self._writers: set[asyncio.StreamWriter] = set()
        self._silenced: set[asyncio.StreamWriter] = set()
        self._server = network.run(asyncio.start_server(self._serve, sock=listener))

    def cut(self, *directions: str) -> None:
        """Hold what is sent in the given directions until `heal`; cuts may overlap."""
        for direction in directions:
            self._cuts[direction] += 1

    def heal(self, *directions: str) -> None:
        """End a cut; what was held arrives late."""
        for direction in directions:
            self._cuts[direction] -= 1

    def retarget(self, target: Callable) -> None:
        """Forward new connections, and those that wait for a cut to end, elsewhere."""
        self._target = target

    def reset(self) -> None:
        self._network.call(lambda: [_abort(writer) for writer in self._writers])

    def silence(self) -> None:
        """Let open connections carry nothing any more; new ones work."""
        self._network.call(lambda: self._silenced.update(self._writers))

    def close(self) -> None:
        self._network.call(self._server.close)
        self.reset()

    async def _pass(self, direction: str) -> None:
        await asyncio.sleep(self.delay)
        while self._cuts[direction]:
            await asyncio.sleep(CUT_CHECK_SECONDS)

    async def _serve(self, reader, writer) -> None:
        self._writers.add(writer)
        pair = [writer]
        with contextlib.suppress(asyncio.CancelledError):
            try:
                await self._pass(FORWARD)
                address = self._target()
                answers, other = await asyncio.open_connection(
                    address.host, address.port
                )
                pair.append(other)
                self._writers.add(other)
                await asyncio.gather(
                    self._pump(reader, other, pair, FORWARD),
                    self._pump(answers, writer, pair, BACKWARD),
                )
            except OSError:
                _abort(writer)
            for item in pair:
                item.close()
                self._writers.discard(item)
                self._silenced.discard(item)

    async def _pump(self, reader, writer, pair, direction: str) -> None:
        """Forward one direction until its end; a reset of one side resets the other."""
        try:
            data = b" "
            while data:
                data = await reader.read(CHUNK_BYTES)
                await self._pass(direction)
                if writer in self._silenced:
                    continue
                if data:
                    writer.write(data)
                    await writer.drain()
                elif not writer.transport.is_closing():
                    writer.write_eof()
        except OSError:
            for item in pair:
                _abort(item)


class Network:
    """The proxy: a thread with an event loop."""

    def __init__(self):
        self._loop = asyncio.new_event_loop()
        self._thread = threading.Thread(target=self._loop.run_forever, daemon=True)
        self._thread.start()
        self.links: dict[str, Link] = {}

    def link(self, name: str, target: Callable, listener=None) -> Link:
        """Open a link, on any free port of loopback unless a listener is given."""
        listener = listener or socket.create_server(("127.0.0.1", 0))
        self.links[name] = Link(self, listener, target)
        return self.links[name]

    def run(self, coroutine):
        """Run a coroutine on the loop and return its result."""
        return asyncio.run_coroutine_threadsafe(coroutine, self._loop).result()

    def call(self, function: Callable) -> None:
        self._loop.call_soon_threadsafe(function)

    def stop(self) -> None:
        for link in self.links.values():
            link.close()
        self.run(self._cancel_all())
        self.call(self._loop.stop)
        self._thread.join()
        self._loop.close()

    async def _cancel_all(self) -> None:
        tasks = asyncio.all_tasks() - {asyncio.current_task()}
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)


def _abort(writer: asyncio.StreamWriter) -> None:
    """Close a connection with a reset."""
    sock = writer.get_extra_info("socket")
    with contextlib.suppress(OSError, ValueError, AttributeError):
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
    writer.transport.abort()
