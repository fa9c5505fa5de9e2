"""Timing and size limits of a replica."""

from dataclasses import dataclass


@dataclass(frozen=True)
class ReplicaConfig:
    """Timing and size limits of a replica.

    Parameters
    ----------
    heartbeat_seconds : float
        Longest time between two requests from the leader to a peer.
    election_seconds : float
        Shortest election timeout: the time without a leader after which a replica
        asks for votes.  Each timeout is random, up to `election_spread` times this.
    election_spread : float
        Ratio of the longest to the shortest election timeout; at least 1.
    former_leader_election_seconds : float
        Election timeout of a former leader that has just restarted.
    learner_interval_seconds : float
        Shortest time between two requests with entries to a replica that is not a
        voter.  No commit waits for it, so its entries can be sent many at a time.
    commit_notice_seconds : float or None
        Longest time after which the voters learn that an entry is committed, if no
        other request carries the news before; None to leave it to the next request.
    call_seconds : float
        Timeout of one call to a peer.
    tick_seconds : float
        Interval at which the timers are checked.
    max_batch_entries, max_batch_bytes : int
        Limits of one append request.
    snapshot_entries : int
        Number of applied entries after which a snapshot is written.
    kept_entries : int
        Number of entries before a snapshot that stay in the log, for followers that
        lag slightly.
    snapshot_bytes, kept_bytes : int
        The same limits in bytes of the entries. A snapshot that is larger than the
        first is written again only once as many bytes have been applied.
    max_unapplied_bytes : int
        Entries that are not applied yet, in bytes; further commands are not taken.
    snapshot_chunk_bytes : int
        Size of the chunks in which a snapshot is sent.
    max_voters : int
        Number of voters at which a learner is promoted only to replace a silent
        voter; 0 promotes every learner.
    voter_silence_seconds : float
        Time without an answer after which a learner may replace a voter; used with
        `max_voters` only.
    disk_hang_seconds : float
        Duration of a write after which a leader gives up the leadership. It is longer
        than `voter_silence_seconds`, because followers go on committing meanwhile, and
        an election costs about a second.
    """

    heartbeat_seconds: float = 0.5
    election_seconds: float = 1.5
    election_spread: float = 1.5
    former_leader_election_seconds: float = 0.1
    learner_interval_seconds: float = 0.0
    commit_notice_seconds: float | None = None
    call_seconds: float = 1.0
    tick_seconds: float = 0.1
    max_batch_entries: int = 1024
    max_batch_bytes: int = 1024 * 1024
    snapshot_entries: int = 4096
    kept_entries: int = 512
    snapshot_bytes: int = 8 * 1024 * 1024
    kept_bytes: int = 2 * 1024 * 1024
    max_unapplied_bytes: int = 8 * 1024 * 1024
    snapshot_chunk_bytes: int = 256 * 1024
    max_voters: int = 0
    voter_silence_seconds: float = 2.0
    disk_hang_seconds: float = 4.0
