"""Threads of a replica: one for each peer, one for the disk, one for the timers.

Each thread calls the steps that the replica provides as methods, and waits in
between.
"""

import threading
from collections.abc import Callable, Mapping

from returns.result import Success

from arbutuscleat.core import FAILURE_PAUSE_SECONDS, run_loop, run_step

from .peer import Peer, PeerAnswer, PeerRequest
from .replica_state import ReplicaState
from .role import Role

WRITER_IDLE_SECONDS = 1.0
# Time limit for each thread: a disk that hangs must not delay the end of the process.
JOIN_SECONDS = 2.0

HandleAnswer = Callable[[str, PeerRequest, PeerAnswer, float], None]


class ReplicaThreads:
    """Runs the steps of a replica in threads.

    Parameters
    ----------
    state : ReplicaState
        The replica.
    peers : mapping of str to Peer
        The other replicas by node id.
    tick, write_unsynced, next_request, handle_answer : callable
        The steps of the replica; `next_request` is called with the state's `lock`
        held.
    """

    def __init__(
        self,
        state: ReplicaState,
        peers: Mapping[str, Peer],
        tick: Callable[[], None],
        write_unsynced: Callable[[], bool],
        next_request: Callable[[str], PeerRequest | None],
        handle_answer: HandleAnswer,
    ):
        self._state = state
        self._peers = dict(peers)
        self._started = False
        self._tick = tick
        self._write_unsynced = write_unsynced
        self._next_request = next_request
        self._handle_answer = handle_answer
        self._threads: list[threading.Thread] = []

    def start(self) -> None:
        """Start the threads."""
        self._spawn("replica-timers", self._run_timers)
        self._spawn("replica-writer", self._run_writer)
        self._started = True
        for name, peer in self._peers.items():
            self._spawn(f"replica-peer-{name}", self._run_peer, peer)

    def add_peer(self, peer: Peer) -> None:
        """Add a peer, and start its thread if the threads are running."""
        self._peers[peer.node_id] = peer
        if self._started:
            self._spawn(f"replica-peer-{peer.node_id}", self._run_peer, peer)

    def peer(self, node_id: str) -> Peer | None:
        """Return a peer, or None if it was not added or has been removed."""
        return self._peers.get(node_id)

    def remove_peer(self, node_id: str) -> None:
        """Remove a peer that is no longer listed and close its connection."""
        peer = self._peers.pop(node_id, None)
        if peer is not None:
            peer.close()

    def stop(self) -> None:
        """Stop the threads and wait for them, up to `JOIN_SECONDS` for each."""
        state = self._state
        state.stopping.set()
        with state.lock:
            state.send_ready.notify_all()
            state.write_ready.notify_all()
            state.peer_answered.notify_all()
        for peer in list(self._peers.values()):
            peer.close()
        for thread in self._threads:
            thread.join(JOIN_SECONDS)

    def _spawn(self, name: str, target, *args) -> None:
        thread = threading.Thread(target=target, args=args, name=name, daemon=True)
        self._threads.append(thread)
        thread.start()

    def _run_timers(self) -> None:
        state = self._state
        run_loop(self._tick, state.stopping, state.clock, state.cfg.tick_seconds)

    def _run_writer(self) -> None:
        run_loop(self._write_or_wait, self._state.stopping, self._state.clock)

    def _write_or_wait(self) -> None:
        state = self._state
        if self._write_unsynced():
            return
        with state.lock:
            waiting = state.log.unsynced() is not None and state.role is Role.LEADER
            if not waiting and not state.stopping.is_set():
                state.clock.wait(state.write_ready, WRITER_IDLE_SECONDS)

    def _run_peer(self, peer: Peer) -> None:
        state = self._state
        while not state.stopping.is_set() and self._peers.get(peer.node_id) is peer:
            if not run_step(lambda: self._send_or_wait(peer)):
                state.clock.sleep(state.stopping, FAILURE_PAUSE_SECONDS)

    def _send_or_wait(self, peer: Peer) -> None:
        state = self._state
        with state.lock:
            request = self._next_request(peer.node_id)
            if request is None:
                self._wait_for_request(peer.node_id)
                return
            sent_at = state.clock.monotonic()
        answer = peer.send(request, state.cfg.call_seconds)
        if isinstance(answer, Success):
            self._handle_answer(peer.node_id, request, answer.unwrap(), sent_at)

    def _wait_for_request(self, peer: str) -> None:
        """Wait until there may be a request for a peer; the caller holds `lock`."""
        state = self._state
        idle = self._idle_seconds(peer)
        interval = state.cfg.learner_interval_seconds
        if interval and state.role is Role.LEADER and state.is_learner(peer):
            state.clock.wait(state.learner_send_ready, min(idle, interval))
        else:
            state.clock.wait(state.send_ready, idle)

    def _idle_seconds(self, peer: str) -> float:
        """Return how long to wait before the next request to a peer is due."""
        state = self._state
        if state.role is not Role.LEADER:
            return 1.0
        progress = state.progress.get(peer)
        if progress is None:
            return 1.0
        due = progress.send_at - state.clock.monotonic()
        return max(0.001, due)
