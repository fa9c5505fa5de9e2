"""Credentials that processes of a cluster present to each other."""

import hmac
from dataclasses import dataclass

from .gen.ttypes import HelloRequest


@dataclass(frozen=True)
class Credentials:
    """The credentials of one process.

    Parameters
    ----------
    cluster : str
        Name of the cluster.
    shared_key : str
        Secret that all processes of the cluster hold.
    node_id : str
        Id of the process.
    incarnation : str
        Identifies one run of the process; a restart changes it.
    """

    cluster: str
    shared_key: str
    node_id: str
    incarnation: str

    def hello(self) -> HelloRequest:
        """Return the handshake request that opens a connection."""
        return HelloRequest(
            cluster=self.cluster,
            shared_key=self.shared_key,
            node_id=self.node_id,
            incarnation=self.incarnation,
        )

    def refusal_reason(self, request: HelloRequest) -> str:
        """Return why a handshake is refused, or an empty string if it is accepted."""
        if request.cluster != self.cluster:
            return f"the cluster name is not {self.cluster!r}"
        presented = (request.shared_key or "").encode()
        if not hmac.compare_digest(presented, self.shared_key.encode()):
            return "the shared key does not match"
        return ""
