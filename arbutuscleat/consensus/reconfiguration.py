"""The reconfiguration: admitting replicas that lost their disk, one change at a time.

A peer that answers under an incarnation that the log does not list is listed
anew as a learner, which takes the vote from its former incarnation.  A learner
that has caught up becomes a voter.  Each step is an entry of the log, and none is
added while an earlier one is not committed.
"""

from absl import logging

from arbutuscleat.wire import encode
from arbutuscleat.wire.gen.ttypes import EntryKind, ReplicaRecord, ReplicaSet

from .replica_state import ReplicaState
from .role import Role

MAX_LEARNER_LAG_ENTRIES = 16


class Reconfiguration:
    """Lists the replicas of the group through the log.

    Parameters
    ----------
    state : ReplicaState
        The replica.
    """

    def __init__(self, state: ReplicaState):
        self._state = state

    def tick(self) -> None:
        """Propose the next change of the replica set, if one is due."""
        state = self._state
        with state.lock:
            if state.role is not Role.LEADER or not self._may_change():
                return
            record = self._next_record()
            removed_id = None if record is not None else self._replaced_voter()
            if record is None and removed_id is None:
                return
            changed_id = removed_id if record is None else record.node_id
            listed = [
                item
                for item in state.membership.current.replicas
                if item.node_id != changed_id
            ]
            if record is not None:
                listed.append(record)
            state.append(EntryKind.VOTERS, encode(ReplicaSet(replicas=listed)))
            state.write_ready.notify()
        if record is None:
            logging.info("replica %s is no longer listed", removed_id)
            return
        logging.info(
            "replica %s is listed as %s under incarnation %s",
            record.node_id,
            "voter" if record.voter else "learner",
            record.incarnation,
        )

    def _may_change(self) -> bool:
        state = self._state
        if state.membership.current_index > state.commit_index:
            return False
        return state.log.term_at(state.commit_index) == state.term

    def _next_record(self) -> ReplicaRecord | None:
        state = self._state
        for node_id, progress in state.progress.items():
            if progress.unlisted_incarnation:
                return ReplicaRecord(
                    node_id=node_id,
                    incarnation=progress.unlisted_incarnation,
                    voter=False,
                )
        for record in state.membership.current.replicas:
            if not record.voter and self._may_vote(record.node_id):
                return ReplicaRecord(
                    node_id=record.node_id, incarnation=record.incarnation, voter=True
                )
        return None

    def _may_vote(self, node_id: str) -> bool:
        if not self._is_caught_up(node_id):
            return False
        state = self._state
        wanted = state.cfg.max_voters
        if not wanted:
            return True
        if self._silence(node_id) > state.cfg.voter_silence_seconds:
            return False
        voters = state.membership.voters()
        # One more voter for a moment: the silent one is removed_id in the next step.
        silent = any(self._is_silent(voter) for voter in voters)
        return len(voters) < wanted or (len(voters) == wanted and silent)

    def _replaced_voter(self) -> str | None:
        state = self._state
        voters = state.membership.voters()
        if not state.cfg.max_voters or len(voters) <= state.cfg.max_voters:
            return None
        return next((voter for voter in voters if self._is_silent(voter)), None)

    def _is_silent(self, node_id: str) -> bool:
        return self._silence(node_id) > self._state.cfg.voter_silence_seconds

    def _silence(self, node_id: str) -> float:
        state = self._state
        if node_id == state.node_id:
            return 0.0
        progress = state.progress.get(node_id)
        if progress is None:
            return float("inf")
        return state.clock.monotonic() - progress.acknowledged_at

    def _is_caught_up(self, node_id: str) -> bool:
        state = self._state
        progress = state.progress.get(node_id)
        if progress is None:
            return False
        return progress.match_index + MAX_LEARNER_LAG_ENTRIES >= state.log.last_index
