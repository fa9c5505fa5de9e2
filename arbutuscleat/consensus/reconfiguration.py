"""Reconfiguration: changes of the replica set, one at a time, through the log.

A replica that lost its disk answers with a new incarnation, which the log does not
list.  It is first listed as a learner, which removes the vote of its former
incarnation.  A learner that has caught up is promoted to voter.  Each change is a
log entry, and none is proposed while an earlier one is not committed.

Each change adds the vote of a replica that answers, removes that of one that does not,
or makes an even number of voters odd, so none makes a quorum depend on more of the
replicas that answer.  While the group has at most `max_voters` voters, silence alone
takes no vote: the silent replica may return, and with fewer voters an entry would be
committed with fewer copies.
"""

from absl import logging

from arbutuscleat.wire import encode
from arbutuscleat.wire.gen.ttypes import EntryKind, ReplicaRecord, ReplicaSet

from .replica_state import ReplicaState
from .role import Role

# A learner that lags the leader by at most this many entries counts as caught up.
MAX_LEARNER_LAG_ENTRIES = 16


class Reconfiguration:
    """Proposes changes of the replica set while this replica is the leader.

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
            removed_id = None if record is not None else self._replaceable_voter()
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
                if not record.voter:
                    self._restart_progress(record.node_id)
            state.append(EntryKind.VOTERS, encode(ReplicaSet(replicas=listed)))
            state.write_ready.notify()
        if record is None:
            logging.info("replica set: removed silent voter %s", removed_id)
            return
        logging.info(
            "replica set: %s is now a %s with incarnation %s",
            record.node_id,
            "voter" if record.voter else "learner",
            record.incarnation,
        )

    def _may_change(self) -> bool:
        """Return whether the last change and an entry of this term are committed."""
        state = self._state
        if state.membership.current_index > state.commit_index:
            return False
        return state.log.term_at(state.commit_index) == state.term

    def _next_record(self) -> ReplicaRecord | None:
        """Return the record of a learner to add or promote, or a voter to demote."""
        state = self._state
        for node_id, progress in state.progress.items():
            incarnation = progress.unlisted_incarnation
            if incarnation:
                return ReplicaRecord(
                    node_id=node_id, incarnation=incarnation, voter=False
                )
        for record in state.membership.current.replicas:
            if not record.voter and self._may_promote(record.node_id):
                return ReplicaRecord(
                    node_id=record.node_id, incarnation=record.incarnation, voter=True
                )
        surplus = self._surplus_voter()
        if surplus is not None:
            return ReplicaRecord(
                node_id=surplus.node_id, incarnation=surplus.incarnation, voter=False
            )
        return None

    def _surplus_voter(self) -> ReplicaRecord | None:
        """Return the voter to demote if their number is even and all of them answer.

        This happens if a silent voter returns after another has been promoted. With an
        even number, a cut in two halves leaves no majority.
        """
        state = self._state
        voters = [item for item in state.membership.current.replicas if item.voter]
        too_many = len(voters) > state.cfg.max_voters > 0
        if not too_many or len(voters) % 2:
            return None
        others = [item for item in voters if item.node_id != state.node_id]
        progresses = [state.progress.get(item.node_id) for item in others]
        if all(p is not None and state.is_responsive(p) for p in progresses):
            return others[-1]  # The latest one, so that the earlier ones stay.
        return None

    def _restart_progress(self, node_id: str) -> None:
        """Discard what an earlier incarnation acknowledged, lost with its disk."""
        progress = self._state.progress[node_id]
        progress.match_index = 0
        progress.snapshot_index = 0
        progress.unlisted_incarnation = ""

    def _may_promote(self, node_id: str) -> bool:
        if not self._is_caught_up(node_id):
            return False
        state = self._state
        max_voters = state.cfg.max_voters
        if not max_voters:
            return True
        if not state.is_responsive(state.progress[node_id]):
            return False
        voters = state.membership.voters()
        # One voter too many is accepted here: the next change removes the silent one.
        silent = any(self._is_silent(voter) for voter in voters)
        return len(voters) < max_voters or (len(voters) == max_voters and silent)

    def _replaceable_voter(self) -> str | None:
        state = self._state
        voters = state.membership.voters()
        if not state.cfg.max_voters or len(voters) <= state.cfg.max_voters:
            return None
        return next((voter for voter in voters if self._is_silent(voter)), None)

    def _is_silent(self, node_id: str) -> bool:
        return self._silence(node_id) > self._state.cfg.voter_silence_seconds

    def _silence(self, node_id: str) -> float:
        """Return the seconds since the last answered request to a replica."""
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
        if progress.match_index < state.membership.current_index:
            return False  # It may not know yet that it is listed, and would not vote.
        return progress.match_index + MAX_LEARNER_LAG_ENTRIES >= state.log.last_index
