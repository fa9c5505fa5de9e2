"""Fetches the cached answer of a finished request from the owner of its claim.

The owner is the entry instance that dispatched the request.  A resend may arrive at
any entry instance, so the answer may have to be fetched from a peer.
"""

from abc import ABC, abstractmethod
from collections.abc import Mapping

from returns.result import Success

from arbutuscleat.wire import ChannelPool
from arbutuscleat.wire.gen.ttypes import KeptAnswerRequest

from .answer_cache import AnswerCache
from .request import Answer


class AnswerFetcher(ABC):
    """Looks up answers in the answer caches of the entry instances."""

    @abstractmethod
    def fetch(self, owner: str, key: str, timeout: float) -> Answer | None:
        """Return the answer that `owner` has cached under a claim key.

        Parameters
        ----------
        owner : str
            Node id of the entry instance that owns the claim.
        key : str
            The claim key.
        timeout : float
            Time limit in seconds.

        Returns
        -------
        Answer or None
            None if the owner no longer has the answer or cannot be reached.
        """


class ThriftAnswerFetcher(AnswerFetcher):
    """Reads the local cache, or asks the owner over thrift.

    Parameters
    ----------
    node_id : str
        Node id of this process.
    cache : AnswerCache
        The answers that this process has cached.
    peers : mapping of str to ChannelPool
        The other entry instances by node id.
    """

    def __init__(
        self, node_id: str, cache: AnswerCache, peers: Mapping[str, ChannelPool]
    ):
        self._node_id = node_id
        self._cache = cache
        self._peers = peers

    def fetch(self, owner: str, key: str, timeout: float) -> Answer | None:
        """Return the answer that `owner` has cached under a claim key, or None."""
        if owner == self._node_id:
            return self._cache.get(key)
        pool = self._peers.get(owner)
        if pool is None:
            return None
        result = pool.call("kept", KeptAnswerRequest(key=key), timeout)
        if not isinstance(result, Success) or not result.unwrap().held:
            return None
        message = result.unwrap()
        headers = tuple((item.name, item.value) for item in message.headers)
        return Answer(message.status, headers, message.body, message.instance_id)
