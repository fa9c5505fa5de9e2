"""Timing and size limits of a replica."""

from dataclasses import dataclass


@dataclass(frozen=True)
class ReplicaConfig:
    """Timing and size limits of a replica.

    Parameters
    ----------
    heartbeat_seconds : float
        Longest silence of a leader towards a peer.
    election_seconds : float
        Shortest silence after which a replica asks for votes; the longest is
        `election_spread` times as long.
    election_spread : float
        At least 1.
    former_leader_election_seconds : float
        Silence after which a former leader that has just started again asks for votes.
    call_seconds : float
        Time limit of one call to a peer.
    tick_seconds : float
        How often timers are looked at.
    max_batch_entries, max_batch_bytes : int
        Bounds of one append request.
    snapshot_entries : int
        Applied entries after which a snapshot is written.
    kept_entries : int
        Entries kept in front of a snapshot for followers that lag a little.
    snapshot_chunk_bytes : int
        Size of the pieces in which a snapshot is sent.
    max_voters : int
        Voters beyond which a learner is promoted only in place of a silent voter;
        0 promotes every learner.
    voter_silence_seconds : float
        Silence after which a voter's place goes to a learner, with `max_voters`.
    """

    heartbeat_seconds: float = 0.5
    election_seconds: float = 1.5
    election_spread: float = 1.5
    former_leader_election_seconds: float = 0.1
    call_seconds: float = 1.0
    tick_seconds: float = 0.1
    max_batch_entries: int = 1024
    max_batch_bytes: int = 1024 * 1024
    snapshot_entries: int = 4096
    kept_entries: int = 512
    snapshot_chunk_bytes: int = 256 * 1024
    max_voters: int = 0
    voter_silence_seconds: float = 2.0
