// The messages and log records of the job queue: entry instances to control
// instances, and the commands that the replicated log carries.
// `make thrift` generates arbutuscleat/wire/gen_jobs, which is committed.

include "arbutuscleat.thrift"

namespace py arbutuscleat.wire.gen_jobs

// ---- records of the log ----------------------------------------------------

struct StepRecord {
  1: i32 count
  2: i32 cpu
  3: i32 mem_mb
  4: i32 gpu
  5: i32 estimated_ms
  6: list<i32> after
  7: bool checkpointing
  8: bool gang
  9: bool rack_local
  10: string required_label
  11: string data_rack
  12: i32 spread_limit
  13: bool speculative
  14: bool long_running
  15: string image
  16: i32 target_ms
  17: bool fills
  18: i32 may_miss
}

// `host`, `path_prefix`: of the queue to which the job was submitted. Entries of former
// versions have only its name. `team`: the one whose key came with the job; none on a
// public queue. `over_rate`: the team had sent more than its weight when it was accepted.
struct JobRecord {
  1: string job_id
  2: string queue
  3: string spec
  4: list<StepRecord> steps
  5: i32 repeat_count
  6: i64 start_at_ms
  7: i64 interval_ms
  8: i64 accepted_at_ms
  9: string service_name
  10: optional string host
  11: optional string path_prefix
  12: optional string team
  13: optional bool over_rate
}

// One run of one task. `beside`: of a start, a copy beside the run that the task has.
struct RunRecord {
  1: string job_id
  2: i32 occurrence
  3: i32 step
  4: i32 index
  5: i32 number
  6: string worker_id
  7: i64 born_ms
  8: optional bool beside
}

// `unresponsive`: the lease of the worker expired while it did not respond.
struct EndRecord {
  1: RunRecord run
  2: i32 outcome
  3: string checkpoint
  4: optional bool unresponsive
}

// `leaving`: a report that the worker leaves has come since its last announcement. It is
// removed with its last run.
struct WorkerRecord {
  1: string worker_id
  2: i64 born_ms
  3: string service_name
  4: string host
  5: i32 port
  6: string data_centre
  7: i32 cpu
  8: i32 mem_mb
  9: i32 gpu
  10: list<string> labels
  11: bool draining
  12: i64 sequence
  13: string machine
  14: optional bool leaving
}

struct WaveRecord {
  1: i32 wave
  2: list<string> machines
  3: i32 cap
  4: i64 due_at_ms
  5: list<string> ordered
  6: list<string> finished
}

struct SetConfig {
  1: i64 version
  2: binary content
}

struct RunStarts {
  1: list<RunRecord> runs
}

struct RunEnds {
  1: list<EndRecord> ends
  2: i64 at_ms
}

// `host`, `path_prefix`: of the queue to which the call came. Entries of former versions
// have none, and concern only a job that is known. `team`: the one whose key came with it.
struct CancelJob {
  1: string job_id
  2: i64 at_ms
  3: optional string host
  4: optional string path_prefix
  5: optional string team
}

// `unplanned`: the incarnation has ended although nobody announced or ordered it.
// `successor_born_ms`: the worker answers as this incarnation, which has not registered.
struct RemoveWorker {
  1: string worker_id
  2: i64 born_ms
  3: optional bool unplanned
  4: optional i64 successor_born_ms
}

// Long-running runs that have outlasted the time in which a task crashes its worker.
struct SettleRuns {
  1: list<RunRecord> runs
}

// A machine of a wave: its upkeep is about to be ordered, or it is over.
struct AdvanceWave {
  1: i32 wave
  2: string machine
  3: bool finished
}

// Machines that are about to be ordered, and by which control instance.
struct OrderMachines {
  1: list<string> machines
  2: string holder
}

struct MachineHolder {
  1: string machine
  2: string holder
}

// One process of a control instance; a restarted process is another holder.
struct SessionHolderRecord {
  1: string node_id
  2: string process
}

// Which process holds the sessions with the workers of a shard. Without a holder, nobody
// does; `former` is then the process that has to stop first. `index` is that of the log
// entry that set the record.
struct SessionAssignmentRecord {
  1: i32 shard
  2: optional SessionHolderRecord holder
  3: i64 fence
  4: optional SessionHolderRecord former
  5: i64 index
}

// The change is valid only while the fence of the shard is the expected one.
struct SessionAssignmentChange {
  1: i32 shard
  2: optional SessionHolderRecord holder
  3: i64 expected_fence
}

struct AssignSessions {
  1: list<SessionAssignmentChange> changes
  2: i64 min_fence
}

// Runs to be stopped so that their tasks start elsewhere.
struct StopRuns {
  1: list<RunRecord> runs
}

// Jobs of which workers have accepted runs.
struct BeginJobs {
  1: list<string> job_ids
}

// `keeps_runs`: the runs of a worker that restarts or leaves go on until their ends are in
// the log. Entries of former versions end them.
struct JobCommand {
  1: optional JobRecord accept
  2: optional CancelJob cancel
  3: optional RunStarts starts
  4: optional RunEnds ends
  5: optional WorkerRecord worker
  6: optional RemoveWorker remove_worker
  7: optional SetConfig config
  8: optional WaveRecord wave
  9: optional AdvanceWave advance_wave
  10: optional OrderMachines order_machines
  11: optional SettleRuns settle
  12: optional i64 at_ms
  13: optional AssignSessions assign_sessions
  14: optional StopRuns stop_runs
  15: optional bool keeps_runs
  16: optional BeginJobs begin_jobs
}

// The copy beside a task's run.
struct CopyImage {
  1: i32 number
  2: string worker_id
  3: i64 born_ms
  4: optional bool inherited
}

// `last_number`: the highest run number, if it is not `number`. `ending`: the task is done,
// and another run of it may go on.
struct TaskImage {
  1: i32 status
  2: i32 number
  3: i32 failures
  4: string worker_id
  5: i64 born_ms
  6: string checkpoint
  7: optional i32 crashes
  8: optional i32 lone_crashes
  9: optional bool settled
  10: optional i32 uncertain_crashes
  11: optional bool inherited
  12: optional CopyImage copy
  13: optional i32 last_number
  14: optional bool ending
}

struct OccurrenceImage {
  1: i32 occurrence
  2: list<list<TaskImage>> steps
}

struct JobImage {
  1: JobRecord job
  2: bool cancelled
  3: bool failed
  4: i64 ended_at_ms
  5: list<OccurrenceImage> occurrences
  6: optional bool started
}

// The ids that a team has cancelled at a queue while no job had them, and when.
struct CancelledIdsImage {
  1: string host
  2: string path_prefix
  3: optional string team
  4: list<string> job_ids
  5: list<i64> at_ms
}

struct JobTableImage {
  1: list<JobImage> jobs
  2: list<WorkerRecord> workers
  3: i64 config_version
  4: binary config
  5: list<WaveRecord> waves
  6: list<MachineHolder> machine_holders
  7: optional list<RunRecord> unresolved_runs
  8: optional list<SessionAssignmentRecord> session_assignments
  9: optional i64 last_session_fence
  10: optional list<CancelledIdsImage> cancelled_ids
}

// ---- between entry and control instances -----------------------------------

// How far a call to a control instance got.
enum Verdict {
  DONE = 1
  NOT_LEADER = 2
  NO_QUORUM = 3
  UNKNOWN = 4
  NO_CONFIG = 5
  NO_QUEUE = 6
  NO_JOB = 7
  CONFLICT = 8
  REFUSED = 9
  INVALID = 10
  UNAUTHORIZED = 11
}

struct LocateRequest {
  1: i64 request_id
}

struct LocateAnswer {
  1: i64 request_id
  2: string leader
  3: list<string> members
}

struct JoinRequest {
  1: i64 request_id
  2: string node_id
  3: string incarnation
}

struct JoinAnswer {
  1: i64 request_id
  2: bool accepted
  3: string leader
}

// `host` and `path` select the queue; what is left of the path names the job.
// `key_digest`: of the key that came with the call, if one did.
struct SubmitRequest {
  1: i64 request_id
  2: string host
  3: string path
  4: JobRecord job
  5: optional binary key_digest
}

struct JobRequest {
  1: i64 request_id
  2: string host
  3: string path
  4: optional binary key_digest
}

struct JobAnswer {
  1: i64 request_id
  2: Verdict verdict
  3: string leader
  4: string state
  5: i32 pending
  6: i32 retry_after_ms
  7: string detail
}

struct AnnounceRequest {
  1: i64 request_id
  2: WorkerRecord worker
  3: bool leaving
}

struct ConfigRequest {
  1: i64 request_id
  2: i64 version
  3: binary content
  4: bool is_read
}

struct WaveRequest {
  1: i64 request_id
  2: WaveRecord wave
  3: bool is_read
}

struct ControlAnswer {
  1: i64 request_id
  2: Verdict verdict
  3: string leader
  4: string detail
  5: binary content
  6: bool finished
}

// A long-running run that its worker lists. `ready`: at full progress, no order pending.
struct ListedRun {
  1: RunRecord run
  2: bool ready
}

// What a session has observed of its worker. `max_new_runs`: limit of the circuit
// breaker, less what runs there; -1 for none.
struct WorkerConditionRecord {
  1: string worker_id
  2: i64 born_ms
  3: i64 fence
  4: bool responsive
  5: bool usable
  6: bool rejects_starts
  7: i32 grade
  8: i32 max_new_runs
  9: bool accepts_long_running
  10: list<ListedRun> long_running
}

// A control instance asks the leader to renew its lease on the sessions that it holds.
// `sequence` rises with each request of a process. `complete`: the conditions are those
// of all sessions, otherwise those that have changed.
struct RenewRequest {
  1: i64 request_id
  2: SessionHolderRecord holder
  3: i64 sequence
  4: i64 applied_index
  5: bool leaving
  6: bool complete
  7: list<WorkerConditionRecord> conditions
}

struct RenewAnswer {
  1: i64 request_id
  2: Verdict verdict
  3: string leader
  4: bool granted
  5: bool wants_complete
}

// `command` is an encoded JobCommand: ends of runs, the removal of a worker, or jobs that
// have begun.
struct ProposeRequest {
  1: i64 request_id
  2: binary command
}

struct ProposeAnswer {
  1: i64 request_id
  2: Verdict verdict
  3: string leader
}

service JobControl {
  arbutuscleat.VoteAnswer vote(1: arbutuscleat.VoteRequest request)
  arbutuscleat.AppendAnswer append(1: arbutuscleat.AppendRequest request)
  arbutuscleat.SnapshotAnswer install(1: arbutuscleat.SnapshotChunk request)
  arbutuscleat.TakeOverAnswer take_over(1: arbutuscleat.TakeOverRequest request)
  LocateAnswer locate(1: LocateRequest request)
  JoinAnswer join(1: JoinRequest request)
  JobAnswer submit(1: SubmitRequest request)
  JobAnswer look_up(1: JobRequest request)
  JobAnswer cancel(1: JobRequest request)
  ControlAnswer announce(1: AnnounceRequest request)
  ControlAnswer configure(1: ConfigRequest request)
  ControlAnswer wave(1: WaveRequest request)
  RenewAnswer renew(1: RenewRequest request)
  ProposeAnswer propose(1: ProposeRequest request)
}
