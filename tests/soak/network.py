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
BACKLOG = 256
RESET_ON_CLOSE = struct.pack("ii", 1, 0)


def hold_port(hosts: list[str]) -> dict[str, socket.socket]:
    while True:
        held = {}
        port = 0
        try:
            for host in hosts:
                sock = socket.socket()
                held[host] = sock
                sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
                sock.bind((host, port))
                port = sock.getsockname()[1]
        except OSError:
            for sock in held.values():
                sock.close()
            continue
        return held


class Link:
    """Forwards the connections of one listener to one target."""

    def __init__(
        self,
        network: "Network",
        name: str,
        listener: socket.socket,
        target: Callable[[], Address],
    ):
        self.name = name
        self.delay = 0.0
        self._network = network
        self._target = target
        host, port = listener.getsockname()
        self.address = Address(host, port)
        self._cuts = {FORWARD: 0, BACKWARD: 0}
        self._writers: set[asyncio.StreamWriter] = set()
        self._silenced: set[asyncio.StreamWriter] = set()
        self._changed = asyncio.Condition()
        self._server = network.run(
            asyncio.start_server(self._serve, sock=listener, backlog=BACKLOG)
        )

    def cut(self, *directions: str) -> None:
        for direction in directions:
            self._cuts[direction] += 1

    def heal(self, *directions: str) -> None:
        for direction in directions:
            self._cuts[direction] -= 1
        self._network.run(self._notify())

    def reset(self) -> None:
        self._network.call(self._reset)

    def silence(self) -> None:
        self._network.call(lambda: self._silenced.update(self._writers))

    def close(self) -> None:
        self._network.call(self._close)

    def _close(self) -> None:
        self._server.close()
        self._reset()

    def _reset(self) -> None:
        for writer in list(self._writers):
            _abort(writer)

    async def _notify(self) -> None:
        async with self._changed:
            self._changed.notify_all()

    async def _passes(self, direction: str) -> None:
        if self.delay:
            await asyncio.sleep(self.delay)
        if self._cuts[direction]:
            async with self._changed:
                await self._changed.wait_for(lambda: not self._cuts[direction])

    async def _serve(self, reader, writer) -> None:
        self._writers.add(writer)
        with contextlib.suppress(asyncio.CancelledError):
            try:
                await self._passes(FORWARD)
                target = self._target()
                other_reader, other = await asyncio.open_connection(
                    target.host, target.port
                )
            except OSError:
                _abort(writer)
                self._writers.discard(writer)
                return
            if writer.transport.is_closing():
                _abort(other)
            self._writers.add(other)
            await asyncio.gather(
                self._pump(reader, other, writer, FORWARD),
                self._pump(other_reader, writer, other, BACKWARD),
            )
            for item in (writer, other):
                item.close()
                self._writers.discard(item)
                self._silenced.discard(item)

    async def _pump(self, reader, writer, source, direction: str) -> None:
        try:
            while data := await reader.read(CHUNK_BYTES):
                await self._passes(direction)
                if writer not in self._silenced:
                    writer.write(data)
                    await writer.drain()
            await self._passes(direction)
            if writer not in self._silenced and not writer.transport.is_closing():
                writer.write_eof()
        except OSError:
            _abort(writer)
            _abort(source)


class Network:
    """The proxy: a thread with an event loop."""

    def __init__(self):
        self._loop = asyncio.new_event_loop()
        self._thread = threading.Thread(target=self._run, name="network", daemon=True)
        self._thread.start()
        self.links: dict[str, Link] = {}

    def link(
        self,
        name: str,
        target: Callable[[], Address],
        listener: socket.socket | None = None,
    ) -> Link:
        listener = listener or socket.create_server(("127.0.0.1", 0))
        self.links[name] = Link(self, name, listener, target)
        return self.links[name]

    def run(self, coroutine):
        return asyncio.run_coroutine_threadsafe(coroutine, self._loop).result()

    def call(self, function: Callable[[], None]) -> None:
        self._loop.call_soon_threadsafe(function)

    def stop(self) -> None:
        for link in self.links.values():
            link.close()
        self.run(self._cancel_all())
        self._loop.call_soon_threadsafe(self._loop.stop)
        self._thread.join()
        self._loop.close()

    async def _cancel_all(self) -> None:
        tasks = asyncio.all_tasks() - {asyncio.current_task()}
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    def _run(self) -> None:
        asyncio.set_event_loop(self._loop)
        self._loop.run_forever()


def _abort(writer: asyncio.StreamWriter) -> None:
    sock = writer.get_extra_info("socket")
    with contextlib.suppress(OSError, ValueError):
        if sock is not None:
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
    writer.transport.abort()
