"""Fetches the kept answer of a finished request from the instance that ran it."""

from abc import ABC, abstractmethod
from collections.abc import Mapping

from returns.result import Success

from arbutuscleat.wire import ChannelPool
from arbutuscleat.wire.gen.ttypes import KeptAnswerRequest

from .answer_cache import AnswerCache
from .request import Answer


class AnswerFetcher(ABC):
    """Finds kept answers."""

    @abstractmethod
    def fetch(self, owner: str, key: str, timeout: float) -> Answer | None:
        """Return the answer that `owner` keeps under a claim key, or None."""


class ThriftAnswerFetcher(AnswerFetcher):
    """Asks the owner over thrift, unless it is this process.

    Parameters
    ----------
    node_id : str
        Identity of this process.
    kept : AnswerCache
        The answers kept here.
    peers : mapping of str to ChannelPool
        The other entry instances by node id.
    """

    def __init__(
        self, node_id: str, kept: AnswerCache, peers: Mapping[str, ChannelPool]
    ):
        self._node_id = node_id
        self._kept = kept
        self._peers = peers

    def fetch(self, owner: str, key: str, timeout: float) -> Answer | None:
        """Return the answer that `owner` keeps under a claim key, or None."""
        if owner == self._node_id:
            return self._kept.get(key)
        pool = self._peers.get(owner)
        if pool is None:
            return None
        result = pool.call("kept", KeptAnswerRequest(key=key), timeout)
        if not isinstance(result, Success) or not result.unwrap().held:
            return None
        found = result.unwrap()
        headers = tuple((item.name, item.value) for item in found.headers)
        return Answer(found.status, headers, found.body, found.instance_id)
