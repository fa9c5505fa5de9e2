"""Progress: what a leader or candidate knows about one peer."""

from dataclasses import dataclass


@dataclass
class Progress:
    """State of the conversation with one peer.

    Parameters
    ----------
    next_index : int
        First entry to send.
    match_index : int
        Last entry known to be synced at the peer.
    acknowledged_at : float
        When the last answered request was sent, in monotonic seconds.
    send_at : float
        When the next heartbeat or retry is due, in monotonic seconds.
    asked_round : int
        The last election round in which the peer was asked for its vote.
    snapshot_offset : int
        Bytes of the current snapshot that the peer has taken.
    snapshot_index : int
        Last index of the snapshot being sent; 0 when none is.
    unlisted_incarnation : str
        Incarnation under which the peer answers, when the log lists another.
    """

    next_index: int = 1
    match_index: int = 0
    acknowledged_at: float = float("-inf")
    send_at: float = float("-inf")
    asked_round: int = 0
    snapshot_offset: int = 0
    snapshot_index: int = 0
    unlisted_incarnation: str = ""
