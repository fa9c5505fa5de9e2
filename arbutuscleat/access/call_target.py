"""What a caller's call is about: the queue, the team that calls, and its jobs.

Which teams and keys there are is decided by the newest configuration that the leader
has applied, anew for each call; nothing about a key is kept between two calls.
"""

from dataclasses import dataclass

from returns.result import Failure, Result, Success

from arbutuscleat.jobs import JobOwner, JobState, Queue, QueueConfig, Team
from arbutuscleat.wire.gen_jobs.ttypes import JobRequest, SubmitRequest, Verdict


@dataclass(frozen=True, slots=True)
class CallTarget:
    """The queue of a call, and the team whose key came with it.

    Parameters
    ----------
    queue : Queue
        The queue that the host and path select.
    rest : str
        What is left of the path: the job's id, or nothing.
    needs_key : bool
        Whether calls for the queue need a key.
    team : Team or None
        The team of the key; None where no key is needed.
    """

    queue: Queue
    rest: str
    needs_key: bool
    team: Team | None

    @property
    def team_name(self) -> str | None:
        """Name of the team; None where no key is needed."""
        return None if self.team is None else self.team.name

    @property
    def owner(self) -> JobOwner:
        """The owner of the jobs that the caller submits to the queue."""
        return JobOwner(self.queue.host, self.queue.path_prefix, self.team_name)

    def describe(self) -> str:
        """Return the queue and the team, as log lines name them."""
        team = "" if self.team is None else f", team {self.team.name}"
        return f"queue {self.queue.name}{team}"

    def may_access(self, job: JobState) -> bool:
        """Return whether the caller may see and cancel a job of the queue.

        A job without a team was accepted while its queue needed no key: it has no
        owner who could be told apart from other callers.
        """
        owner = job.record.team
        return not self.needs_key or owner is None or owner == self.team_name


def find_target(
    config: QueueConfig, request: SubmitRequest | JobRequest
) -> Result[CallTarget, int]:
    """Return what a call is about.

    Parameters
    ----------
    config : QueueConfig
        The configuration in force.
    request : SubmitRequest or JobRequest
        The call, with the digest of the caller's key if one came with it.

    Returns
    -------
    Result of CallTarget or int
        The target, or the verdict NO_QUEUE or UNAUTHORIZED.
    """
    queue = config.find(request.host, request.path)
    if queue is None:
        return Failure(Verdict.NO_QUEUE)
    needs_key = config.needs_key(queue)
    team = config.team_of_key(request.key_digest) if needs_key else None
    if needs_key and team is None:
        return Failure(Verdict.UNAUTHORIZED)
    rest = request.path[len(queue.path_prefix) :]
    return Success(CallTarget(queue, rest, needs_key, team))
