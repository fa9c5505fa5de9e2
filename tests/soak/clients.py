"""Small crowds of clients that nobody controls, beside the other faults."""

import contextlib
import itertools
from collections.abc import Callable, Iterator

from arbutuscleat.wire import Address
from tests.clients.crowds import HTTP_CROWDS, Crowd
from tests.clients.installation import memory_mb

from .disturbances import UNPLANNED

BLOCKS = 64
"""Blocks of 64 KiB that a client sends at most."""

CHANNELS = 6
"""Fewer than a node has threads, so that callers are served beside them."""

SECONDS = (0.5, 5.0)
MEMORY_MB = 128.0
"""Bound on the memory of a node, from docs/DEVELOPERS.md."""


class SmallCrowd(Crowd):
    """A crowd of few clients, with its share of the processor."""

    def flood(self, blocks: Callable[[], Iterator[bytes]], clients: int = 1) -> None:
        super().flood(lambda: itertools.islice(blocks(), BLOCKS), 1)

    def hold(self, data: bytes, channels: int = CHANNELS) -> None:
        super().hold(data, CHANNELS)

    def reset(self, data: bytes, channels: int = CHANNELS) -> None:
        super().reset(data, CHANNELS)


def crowd_of_clients(scene, rng):
    """Let a crowd act on one address of a node, and check the node's memory."""
    node, seconds = scene.node(rng, 0.5), rng.uniform(*SECONDS)
    name = rng.choice(sorted(HTTP_CROWDS))
    listen = rng.choice(sorted(node.settings.listens))
    host, _, port = node.settings.listens[listen].rpartition(":")
    scene.event(f"crowd at {node.name} {listen}: {name} for {seconds:.2f} s")
    crowd = SmallCrowd(Address(host, int(port)))
    with scene.world.disturbances.during(node.scope + UNPLANNED):
        HTTP_CROWDS[name](crowd)
        scene.sleep(seconds)
        with contextlib.suppress(OSError, ValueError):  # The process has ended.
            used = memory_mb(node.process, "VmRSS")
            if used > MEMORY_MB:
                text = f"{used:.0f} MB after {name}"
                scene.world.report.violation("MEMORY", node.name, text)
        crowd.end()


CLIENT_FAULTS = {crowd_of_clients: 1.0}
"""Injected as a series of its own: seeds keep their other faults."""
