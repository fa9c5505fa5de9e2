"""Progress: what a leader or candidate has recorded about one peer."""

from dataclasses import dataclass


@dataclass
class Progress:
    """State of the exchange with one peer.

    Parameters
    ----------
    next_index : int
        Index of the next entry to send.
    match_index : int
        Index of the last entry known to be synced at the peer.
    acknowledged_at : float
        When the latest answered request was sent, in monotonic seconds.
    sent_at : float
        When the latest request was sent, in monotonic seconds.
    send_at : float
        When the next heartbeat or retry is due, in monotonic seconds.
    asked_round : int
        The last election round in which the peer was asked for its vote.
    snapshot_offset : int
        Bytes of the current snapshot that the peer has accepted.
    snapshot_index : int
        Index of the last entry in the snapshot being sent; 0 if none is sent.
    disk_failed : bool
        Whether the latest answer said that the peer's disk refuses writes.
    unlisted_incarnation : str
        Incarnation of the peer if the log does not list it, otherwise empty.
    """

    next_index: int = 1
    match_index: int = 0
    acknowledged_at: float = float("-inf")
    sent_at: float = float("-inf")
    send_at: float = float("-inf")
    asked_round: int = 0
    snapshot_offset: int = 0
    snapshot_index: int = 0
    disk_failed: bool = False
    unlisted_incarnation: str = ""
