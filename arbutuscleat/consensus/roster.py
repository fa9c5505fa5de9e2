"""The roster: admitting replicas that lost their disk, one change at a time.

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

CATCH_UP_ENTRIES = 16


class Roster:
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
            if state.role is not Role.LEADER or not self._is_settled():
                return
            record = self._next_record()
            if record is None:
                return
            listed = [
                item
                for item in state.membership.current.replicas
                if item.node_id != record.node_id
            ]
            replicas = ReplicaSet(replicas=[*listed, record])
            state.append(EntryKind.VOTERS, encode(replicas))
            state.unsynced.notify()
        logging.info(
            "replica %s is listed as %s under incarnation %s",
            record.node_id,
            "voter" if record.voter else "learner",
            record.incarnation,
        )

    def _is_settled(self) -> bool:
        state = self._state
        if state.membership.current_index > state.commit_index:
            return False
        return state.log.term_at(state.commit_index) == state.term

    def _next_record(self) -> ReplicaRecord | None:
        state = self._state
        for node_id, progress in state.progress.items():
            if progress.stranger:
                return ReplicaRecord(
                    node_id=node_id, incarnation=progress.stranger, voter=False
                )
        for record in state.membership.current.replicas:
            if not record.voter and self._has_caught_up(record.node_id):
                return ReplicaRecord(
                    node_id=record.node_id, incarnation=record.incarnation, voter=True
                )
        return None

    def _has_caught_up(self, node_id: str) -> bool:
        state = self._state
        progress = state.progress.get(node_id)
        if progress is None:
            return False
        return progress.match_index + CATCH_UP_ENTRIES >= state.log.last_index
