"""Channels and channel pools to the other processes of the fleet."""

from collections.abc import Iterable

from arbutuscleat.settings import Node
from arbutuscleat.wire import Address, Channel, ChannelPool, Credentials


def node_address(node: Node) -> Address:
    """Return the address on which a node serves the other processes of the fleet."""
    return Address(str(node.host), node.port)


def make_channels(
    client_class: type, nodes: Iterable[Node], credentials: Credentials
) -> dict[str, Channel]:
    """Return one channel for each node, by node id."""
    return {
        node.node_id: Channel(client_class, node_address(node), credentials)
        for node in nodes
    }


def make_pools(
    client_class: type, nodes: Iterable[Node], credentials: Credentials
) -> dict[str, ChannelPool]:
    """Return one channel pool for each node, by node id."""
    return {
        node.node_id: ChannelPool(client_class, node_address(node), credentials)
        for node in nodes
    }
