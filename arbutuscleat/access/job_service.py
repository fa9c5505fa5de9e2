"""The service of a control instance for entry instances and other control instances.

Only the leader handles requests about jobs, workers and the configuration; the other
instances return the address of the leader.  Before it answers that something does not
exist, the leader has a quorum confirm its leadership, since a newer leader may hold
later entries.
"""

import re
from typing import Any

from absl import logging
from returns.result import Failure, Result, Success

from arbutuscleat.consensus import (
    ProposalError,
    ProposalErrorKind,
    Replica,
    ReplicaHandlers,
)
from arbutuscleat.core import Clock, Deadline
from arbutuscleat.execution import SessionRegistry
from arbutuscleat.jobs import AcceptResult, CancelResult, JobTable
from arbutuscleat.jobs.job_table import JOB_ID_LENGTH
from arbutuscleat.jobs.worker_announcement import is_outdated
from arbutuscleat.scheduling import Rejection
from arbutuscleat.wire import encode
from arbutuscleat.wire.gen_jobs.ttypes import (
    AnnounceRequest,
    CancelJob,
    ConfigRequest,
    ControlAnswer,
    JobAnswer,
    JobCommand,
    JobRequest,
    JoinAnswer,
    JoinRequest,
    LocateAnswer,
    LocateRequest,
    ProposeAnswer,
    ProposeRequest,
    RemoveWorker,
    RenewAnswer,
    RenewRequest,
    SetConfig,
    SubmitRequest,
    Verdict,
    WaveRequest,
    WorkerRecord,
)

from .admission_controller import AdmissionController
from .call_target import CallTarget, find_target
from .holder_handlers import COMMIT_SECONDS, HolderHandlers, leader_of
from .refusal_log import RefusalLog

BARRIER_SECONDS = 1.0
"""Timeout for a quorum to confirm the leadership."""

MAX_BORN_AHEAD_MS = 24 * 3600 * 1000
"""How far the start time of a worker may be ahead of this process's clock. Clocks
differ by seconds, and by hours at most if one is set wrongly; a time further ahead is
no start time, and would hide all later incarnations of that worker."""

LEAVE_SECONDS = 0.6
"""How long a worker that leaves waits for the stops of its runs. They take a fifth of a
second; after a second without an answer it reports to another control instance."""

REFUSED_LOG_SECONDS = 1.0
"""Least time between two log lines about announcements, or keys, that are refused."""

MAX_RETRY_MS = 3600 * 1000
"""Longest time after which a rejected caller is asked to try again; the message holds
24 days at most, and the wait that is estimated has no bound."""

_JOB_ID = re.compile(f"[0-9a-fA-F]{{{JOB_ID_LENGTH}}}")

_VERDICTS = {
    ProposalErrorKind.NOT_LEADER: Verdict.NOT_LEADER,
    ProposalErrorKind.NO_QUORUM: Verdict.NO_QUORUM,
    ProposalErrorKind.LOST: Verdict.NOT_LEADER,
    ProposalErrorKind.UNKNOWN: Verdict.UNKNOWN,
}


class JobService(ReplicaHandlers):
    """Handler of the thrift service `JobControl`.

    Parameters
    ----------
    replica : Replica
        This process's member of the consensus group.
    table : JobTable
        The replicated state of that replica.
    clock : Clock
        Source of time.
    admission : AdmissionController
        Accepts or rejects submitted jobs.
    registry : SessionRegistry, optional
        Records the leases and reports of the holders of sessions.
    """

    def __init__(
        self,
        replica: Replica,
        table: JobTable,
        clock: Clock,
        admission: AdmissionController,
        registry: SessionRegistry | None = None,
    ):
        super().__init__(replica)
        self._table = table
        self._clock = clock
        self._admission = admission
        self._refusal_log = RefusalLog(clock)
        self._holder_handlers = HolderHandlers(
            replica,
            table,
            clock,
            SessionRegistry(clock) if registry is None else registry,
        )

    def leads(self) -> bool:
        """Return whether this process is the leader and in contact with a quorum."""
        return self._replica.leads()

    # ---- consensus ----

    def locate(self, request: LocateRequest) -> LocateAnswer:
        """Return the known leader and the members of the group."""
        return LocateAnswer(
            request_id=request.request_id,
            leader=self._replica.status().leader,
            members=self._replica.members(),
        )

    def join(self, request: JoinRequest) -> JoinAnswer:
        """Add a replica to the group."""
        accepted = self._replica.accept_join(request.node_id, request.incarnation)
        return JoinAnswer(
            request_id=request.request_id,
            accepted=accepted,
            leader=self._replica.status().leader,
        )

    # ---- callers ----

    def submit(self, request: SubmitRequest) -> JobAnswer:
        """Accept or reject a job; an accepted job is committed before the answer."""
        found = self._find_target(request)
        if isinstance(found, Failure):
            return found.failure()
        target = found.unwrap()
        queue, job_id = target.queue, target.rest
        if not _JOB_ID.fullmatch(job_id):
            return self._job_answer(request, Verdict.INVALID, detail="not a job id")
        record = request.job
        record.job_id = job_id
        record.queue = queue.name
        record.host = queue.host
        record.path_prefix = queue.path_prefix
        record.service_name = queue.service_name
        record.team = target.team_name
        record.accepted_at_ms = self._clock.now_ms()
        with self._table.lock:
            if not self._wait_for_commit(job_id):
                return self._job_answer(request, Verdict.UNKNOWN)
            known = self._table.find_submitted(record)
            rejection = None if known else self._admission.check(record, job_id, queue)
        if known is not None:
            return self._submit_answer(request, target, known)
        if rejection is not None:
            return self._reject(request, target, rejection)
        with self._admission.submitting(job_id):
            result = self._propose(JobCommand(accept=record))
        if isinstance(result, Failure):
            return self._job_answer(request, _VERDICTS[result.failure().kind])
        if result.unwrap() is None:
            return self._job_answer(request, Verdict.INVALID, detail="not a job")
        return self._submit_answer(request, target, result.unwrap())

    def look_up(self, request: JobRequest) -> JobAnswer:
        """Return the state of a job, or the number of waiting jobs of a queue."""
        found = self._find_target(request)
        if isinstance(found, Failure):
            return found.failure()
        target = found.unwrap()
        if not target.rest:
            with self._table.lock:
                pending = self._table.pending(target.queue)
            return self._job_answer(request, Verdict.DONE, pending=pending)
        with self._table.lock:
            job = self._table.find_job(request.host, request.path)
            if job is not None and target.may_access(job):
                return self._job_answer(request, Verdict.DONE, state=job.phase().value)
        return self._confirmed_answer(request, Verdict.NO_JOB)

    def cancel(self, request: JobRequest) -> JobAnswer:
        """Cancel a job; the cancellation is committed before the answer.

        So is that of an unknown id, since a submission may still be under way. The
        order of the two entries in the log decides which of them takes effect.
        """
        found = self._find_target(request)
        if isinstance(found, Failure):
            return found.failure()
        target = found.unwrap()
        owner, job_id = target.owner, target.rest
        if not _JOB_ID.fullmatch(job_id):
            return self._confirmed_answer(request, Verdict.NO_JOB)
        now_ms = self._clock.now_ms()
        with self._table.lock:
            job = self._table.find_job(request.host, request.path)
            if job is None or not target.may_access(job):
                if self._table.cancelled_ids.is_kept(owner, job_id, now_ms):
                    return self._job_answer(request, Verdict.NO_JOB)
                if not self._table.cancelled_ids.has_room(owner, job_id, now_ms):
                    return self._refuse_cancellation(request, now_ms)
        command = CancelJob(
            job_id=job_id,
            at_ms=now_ms,
            host=owner.host,
            path_prefix=owner.path_prefix,
            team=owner.team,
        )
        result = self._propose(JobCommand(cancel=command))
        if isinstance(result, Failure):
            return self._job_answer(request, _VERDICTS[result.failure().kind])
        if result.unwrap() is CancelResult.NO_JOB:
            return self._job_answer(request, Verdict.NO_JOB)
        if result.unwrap() is CancelResult.NO_ROOM:
            return self._refuse_cancellation(request, now_ms)
        logging.info("job %s of %s cancelled", job_id, target.describe())
        return self._job_answer(request, Verdict.DONE)

    # ---- workers and operators ----

    def announce(self, request: AnnounceRequest) -> ControlAnswer:
        """Store a worker's announcement; only changes are committed and logged."""
        if not self.leads():
            return self._control_answer(request, Verdict.NOT_LEADER)
        record = request.worker
        latest_ms = self._clock.now_ms() + MAX_BORN_AHEAD_MS
        with self._table.lock:
            stored = self._table.workers.get(record.worker_id)
        problem = "" if request.leaving else self._problem(record, stored, latest_ms)
        if problem:
            logging.log_every_n_seconds(
                logging.WARNING,
                "worker %s refused: %s",
                REFUSED_LOG_SECONDS,
                record.worker_id,
                problem,
            )
            answer = self._control_answer(request, Verdict.INVALID)
            answer.detail = problem
            return answer
        if request.leaving:
            if stored is None:
                return self._control_answer(request, Verdict.DONE)
            return self._control_answer(request, self._leave(record, stored))
        if (
            stored is not None
            and stored.born_ms <= latest_ms
            and _needs_no_commit(stored, record)
        ):
            return self._control_answer(request, Verdict.DONE)
        self._remove_implausible(record, latest_ms)
        command = JobCommand(worker=record, at_ms=self._clock.now_ms(), keeps_runs=True)
        logging.info(
            "worker %s of service %s at %s:%d, started at %d ms%s",
            record.worker_id,
            record.service_name,
            record.host,
            record.port,
            record.born_ms,
            ", draining" if record.draining else "",
        )
        result = self._propose(command)
        if isinstance(result, Failure):
            return self._control_answer(request, _VERDICTS[result.failure().kind])
        return self._control_answer(request, Verdict.DONE)

    def configure(self, request: ConfigRequest) -> ControlAnswer:
        """Store a version of the configuration, or return the one in force."""
        if not self.leads():
            return self._control_answer(request, Verdict.NOT_LEADER)
        if request.is_read:
            return self._read_config(request)
        command = SetConfig(version=request.version, content=request.content)
        result = self._propose(JobCommand(config=command))
        if isinstance(result, Failure):
            return self._control_answer(request, _VERDICTS[result.failure().kind])
        if result.unwrap() is None:
            return self._control_answer(request, Verdict.INVALID)
        logging.info(
            "configuration version %d: %s",
            request.version,
            "in force"
            if result.unwrap()
            else "ignored, not newer than the version in force",
        )
        return self._control_answer(request, Verdict.DONE)

    def wave(self, request: WaveRequest) -> ControlAnswer:
        """Store a wave, or return whether it is complete."""
        if not self.leads():
            return self._control_answer(request, Verdict.NOT_LEADER)
        if not request.is_read:
            if not self._admission.admits_wave(request.wave):
                logging.warning("wave %d: no memory for it", request.wave.wave)
                return self._control_answer(request, Verdict.REFUSED)
            result = self._propose(JobCommand(wave=request.wave))
            if isinstance(result, Failure):
                return self._control_answer(request, _VERDICTS[result.failure().kind])
            logging.info(
                "wave %d: %d machines, at most %d at the same time",
                request.wave.wave,
                len(request.wave.machines),
                request.wave.cap,
            )
            return self._control_answer(request, Verdict.DONE)
        with self._table.lock:
            wave = self._table.waves.get(request.wave.wave)
        if wave is None:
            return self._control_answer(
                request, self._confirm_leadership(Verdict.NO_JOB)
            )
        answer = self._control_answer(request, Verdict.DONE)
        answer.finished = wave.is_complete()
        return answer

    # ---- holders of sessions ----

    def renew(self, request: RenewRequest) -> RenewAnswer:
        """Record a report, and renew the lease of its sender."""
        return self._holder_handlers.renew(request)

    def propose(self, request: ProposeRequest) -> ProposeAnswer:
        """Commit what a session has observed: ends, begun jobs, a lost worker."""
        return self._holder_handlers.propose(request)

    # ---- helpers ----

    def _wait_for_commit(self, job_id: str) -> bool:
        """Wait while another call commits a job; return False if that takes too long.

        The caller holds the table's lock. To commit the job once more would take its
        memory again, in the log and in each replica.
        """
        deadline = Deadline.after(self._clock, COMMIT_SECONDS)
        while self._admission.is_submitting(job_id):
            if deadline.expired():
                return False
            self._clock.wait(self._table.changed, deadline.remaining())
        return True

    def _refuse_cancellation(self, request: JobRequest, now_ms: int) -> JobAnswer:
        """Refuse to cancel an unknown id, as too many are kept."""
        logging.log_every_n_seconds(
            logging.WARNING,
            "cancellation of %s refused: too many ids without a job are kept",
            REFUSED_LOG_SECONDS,
            request.path,
        )
        with self._table.lock:
            wait_ms = self._table.cancelled_ids.retry_after_ms(now_ms)
        answer = self._job_answer(
            request, Verdict.REFUSED, detail="too many unknown jobs were cancelled"
        )
        answer.retry_after_ms = min(wait_ms, MAX_RETRY_MS)
        return answer

    def _submit_answer(
        self, request: SubmitRequest, target: CallTarget, result: AcceptResult
    ) -> JobAnswer:
        if result is AcceptResult.CONFLICT:
            return self._job_answer(
                request,
                Verdict.CONFLICT,
                detail="the id belongs to a job of another queue or team",
            )
        logging.info("job %s of %s: %s", target.rest, target.describe(), result.value)
        if result is AcceptResult.CANCELLED:
            return self._job_answer(
                request,
                Verdict.NO_JOB,
                detail="the job was cancelled before it was submitted",
            )
        return self._job_answer(request, Verdict.DONE)

    def _leave(self, record: WorkerRecord, stored: WorkerRecord) -> int:
        """Commit that a worker leaves; return the verdict.

        A worker that drains is answered once its runs have been stopped. The report
        names no incarnation: without a drain, it can be a delayed one of a former
        incarnation, and the runs go on.
        """
        born_ms = record.born_ms or stored.born_ms
        logging.info(
            "worker %s, started at %d ms, is leaving%s",
            record.worker_id,
            born_ms,
            "" if stored.draining else ", although it does not drain",
        )
        removal = RemoveWorker(worker_id=record.worker_id, born_ms=born_ms)
        result = self._propose(JobCommand(remove_worker=removal, keeps_runs=True))
        if isinstance(result, Failure):
            return _VERDICTS[result.failure().kind]
        incarnation = (record.worker_id, born_ms)
        deadline = self._clock.monotonic() + LEAVE_SECONDS
        with self._table.lock:
            while stored.draining and incarnation in self._table.runs:
                left = deadline - self._clock.monotonic()
                if left <= 0.0:
                    return Verdict.UNKNOWN
                self._clock.wait(self._table.changed, left)
        return Verdict.DONE

    def _problem(
        self, record: WorkerRecord, stored: WorkerRecord | None, latest_ms: int
    ) -> str:
        """Return why an announcement is invalid; empty if it is not.

        A new worker may take the address of another one, whose runs are then lost. One
        of a service that nobody has configured must not do so.
        """
        if record.born_ms > latest_ms:
            return "born: more than a day ahead of the clock here"
        config = self._table.config
        is_known = stored is not None and (stored.born_ms, stored.service_name) == (
            record.born_ms,
            record.service_name,
        )
        if config is None or is_known or record.service_name in config.services:
            return ""
        return "service: not in the configuration"

    def _remove_implausible(self, record: WorkerRecord, latest_ms: int) -> None:
        """Remove workers that block an announcement with a start far in the future.

        A leader that did not check the start times may have stored them.
        """
        address = (record.host, record.port)
        with self._table.lock:
            found = [
                item
                for item in self._table.workers.values()
                if item.born_ms > latest_ms
                and (
                    item.worker_id == record.worker_id
                    or (item.host, item.port) == address
                )
            ]
        for item in found:
            is_former = item.worker_id == record.worker_id
            command = RemoveWorker(
                worker_id=item.worker_id,
                born_ms=item.born_ms,
                successor_born_ms=record.born_ms if is_former else None,
            )
            self._propose(JobCommand(remove_worker=command))

    def _reject(
        self, request: SubmitRequest, target: CallTarget, rejection: Rejection
    ) -> JobAnswer:
        self._refusal_log.record(
            target.rest, target.queue.name, target.team_name, rejection
        )
        if rejection.is_final:
            return self._job_answer(request, Verdict.INVALID, detail=rejection.reason)
        answer = self._job_answer(request, Verdict.REFUSED, detail=rejection.reason)
        answer.retry_after_ms = min(rejection.retry_after_ms, MAX_RETRY_MS)
        return answer

    def _find_target(
        self, request: SubmitRequest | JobRequest
    ) -> Result[CallTarget, JobAnswer]:
        """Return what a call is about, or the answer if it goes no further.

        Refusals wait for a quorum: a newer leader may hold a configuration with the
        queue or the key.
        """
        if not self.leads():
            return Failure(self._job_answer(request, Verdict.NOT_LEADER))
        with self._table.lock:
            config = self._table.config
        if config is None:
            return Failure(self._confirmed_answer(request, Verdict.NO_CONFIG))
        target = find_target(config, request)
        if isinstance(target, Failure):
            if target.failure() == Verdict.UNAUTHORIZED:
                logging.log_every_n_seconds(
                    logging.WARNING,
                    "call to %s refused: %s",
                    REFUSED_LOG_SECONDS,
                    request.path,
                    "no key" if request.key_digest is None else "unknown key",
                )
            return Failure(self._confirmed_answer(request, target.failure()))
        return Success(target.unwrap())

    def _confirmed_answer(self, request: Any, verdict: int) -> JobAnswer:
        return self._job_answer(request, self._confirm_leadership(verdict))

    def _confirm_leadership(self, verdict: int) -> int:
        """Return `verdict` if a quorum confirms the leadership, else the reason."""
        barrier = self._replica.read_barrier(BARRIER_SECONDS)
        if isinstance(barrier, Failure):
            return _VERDICTS[barrier.failure().kind]
        return verdict

    def _read_config(self, request: ConfigRequest) -> ControlAnswer:
        confirmed = self._confirm_leadership(Verdict.DONE)
        if confirmed != Verdict.DONE:
            return self._control_answer(request, confirmed)
        with self._table.lock:
            content = self._table.config_content
        verdict = Verdict.DONE if content else Verdict.NO_CONFIG
        answer = self._control_answer(request, verdict)
        answer.content = content
        return answer

    def _propose(self, command: JobCommand) -> Result[Any, ProposalError]:
        return self._replica.propose(encode(command), COMMIT_SECONDS)

    def _leader(self) -> str:
        return leader_of(self._replica)

    def _job_answer(
        self,
        request: Any,
        verdict: int,
        state: str = "",
        pending: int = 0,
        detail: str = "",
    ) -> JobAnswer:
        return JobAnswer(
            request_id=request.request_id,
            verdict=verdict,
            leader=self._leader() if verdict != Verdict.DONE else "",
            state=state,
            pending=pending,
            retry_after_ms=0,
            detail=detail,
        )

    def _control_answer(self, request: Any, verdict: int) -> ControlAnswer:
        status = self._replica.status()
        return ControlAnswer(
            request_id=request.request_id,
            verdict=verdict,
            leader=status.leader,
            detail="",
            content=b"",
            finished=False,
        )


def _needs_no_commit(stored: WorkerRecord, record: WorkerRecord) -> bool:
    """Return whether an announcement needs no commit.

    That is the case if it is outdated or only its sequence number has changed.
    """
    if is_outdated(record, stored):
        return True
    return (
        stored.born_ms == record.born_ms
        and not stored.leaving
        and stored.service_name == record.service_name
        and (stored.host, stored.port) == (record.host, record.port)
        and (stored.cpu, stored.mem_mb, stored.gpu)
        == (record.cpu, record.mem_mb, record.gpu)
        and list(stored.labels) == list(record.labels)
        and stored.draining == record.draining
    )
