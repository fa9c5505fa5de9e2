"""What a process presents when it connects to another of our processes."""

import hmac
from dataclasses import dataclass

from .gen.ttypes import HelloRequest


@dataclass(frozen=True)
class Credentials:
    """Cluster name, shared key and identity of one process."""

    cluster: str
    shared_key: str
    node_id: str
    incarnation: str

    def hello(self) -> HelloRequest:
        """Return the first message of a connection."""
        return HelloRequest(
            cluster=self.cluster,
            shared_key=self.shared_key,
            node_id=self.node_id,
            incarnation=self.incarnation,
        )

    def admits(self, request: HelloRequest) -> str:
        """Return why `request` is refused, or an empty string."""
        if request.cluster != self.cluster:
            return f"this is cluster {self.cluster!r}"
        presented = (request.shared_key or "").encode()
        if not hmac.compare_digest(presented, self.shared_key.encode()):
            return "the shared key is wrong"
        return ""
