"""The links of a process to the others: channels and pools of channels."""

from collections.abc import Iterable

from arbutuscleat.settings import Node
from arbutuscleat.wire import Address, Channel, ChannelPool, Credentials


def node_address(node: Node) -> Address:
    """Return where a process of the settings listens for our own processes."""
    return Address(str(node.host), node.port)


def make_channels(
    client_class: type, nodes: Iterable[Node], credentials: Credentials
) -> dict[str, Channel]:
    """Return one channel to each process, by node id."""
    return {
        node.node_id: Channel(client_class, node_address(node), credentials)
        for node in nodes
    }


def make_pools(
    client_class: type, nodes: Iterable[Node], credentials: Credentials
) -> dict[str, ChannelPool]:
    """Return a pool of channels to each process, by node id."""
    return {
        node.node_id: ChannelPool(client_class, node_address(node), credentials)
        for node in nodes
    }
