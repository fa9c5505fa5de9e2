// The messages between arbutuscleat's own processes and the records of its log.
// `make thrift` generates arbutuscleat/wire/gen, which is committed.

namespace py arbutuscleat.wire.gen

// ---- connections ----------------------------------------------------------

struct HelloRequest {
  1: string cluster
  2: string shared_key
  3: string node_id
  4: string incarnation
}

struct HelloAnswer {
  1: bool accepted
  2: string reason
  3: string node_id
  4: string incarnation
}

service Handshake {
  HelloAnswer hello(1: HelloRequest request)
}

// ---- consensus ------------------------------------------------------------

enum EntryKind {
  COMMAND = 1
  NO_OPERATION = 2
  VOTERS = 3
}

struct LogEntry {
  1: i64 index
  2: i64 term
  3: EntryKind kind
  4: binary payload
}

// A replica of the group as the log lists it.
struct ReplicaRecord {
  1: string node_id
  2: string incarnation
  3: bool voter
}

struct ReplicaSet {
  1: list<ReplicaRecord> replicas
}

// What one synced write adds to the log.  A batch whose base lies before the end
// of the log replaces everything after the base.
struct LogBatch {
  1: i64 base_index
  2: i64 base_term
  3: list<LogEntry> entries
}

struct VoteRequest {
  1: i64 request_id
  2: i64 term
  3: string candidate
  4: string incarnation
  5: i64 last_index
  6: i64 last_term
  7: bool pre_vote
  // The candidate led the newest term it knows of and has started again since.
  8: bool returns
}

struct VoteAnswer {
  1: i64 request_id
  2: i64 term
  3: bool granted
  4: string incarnation
}

struct AppendRequest {
  1: i64 request_id
  2: i64 term
  3: string leader
  4: i64 previous_index
  5: i64 previous_term
  6: list<LogEntry> entries
  7: i64 commit_index
}

// `disk_failed`: the replica neither votes nor stores entries now.
struct AppendAnswer {
  1: i64 request_id
  2: i64 term
  3: bool accepted
  4: i64 last_index
  5: string incarnation
  6: optional bool disk_failed
}

struct SnapshotChunk {
  1: i64 request_id
  2: i64 term
  3: string leader
  4: i64 last_index
  5: i64 last_term
  6: ReplicaSet replicas
  7: i64 offset
  8: binary data
  9: bool done
}

struct SnapshotAnswer {
  1: i64 request_id
  2: i64 term
  3: bool accepted
  4: string incarnation
  5: optional bool disk_failed
}

// Sent by a leader that is about to stop: the peer asks for votes at once.
struct TakeOverRequest {
  1: i64 request_id
  2: i64 term
}

struct TakeOverAnswer {
  1: i64 request_id
  2: bool accepted
}

// The durable vote of a replica.
struct VoteRecord {
  1: i64 term
  2: string voted_for
  3: bool led
}

// The durable identity of a replica; a new data folder gets a new incarnation.
struct IdentityRecord {
  1: string node_id
  2: string incarnation
}

struct SnapshotRecord {
  1: i64 last_index
  2: i64 last_term
  3: ReplicaSet replicas
  4: binary data
}

// ---- configuration and its commands ---------------------------------------

struct PoolRecord {
  1: string name
  2: string service_name
  3: i32 min_available
  4: bool spare
  5: string membership
  6: i64 version
}

struct LabelsRecord {
  1: string kind
  2: string name
  3: map<string, string> labels
  4: i64 version
}

struct SelectorRecord {
  1: string name
  2: string purpose
  3: string jobs
  4: string instances
  5: string pool
  6: i64 version
}

struct InstanceRecord {
  1: string instance_id
  2: string incarnation
  3: string host
  4: i32 port
  5: string data_centre
  6: string rack
  7: map<string, string> labels
  8: list<string> services
  9: i32 slots
  10: i32 connections
  11: string state
  12: i64 sequence
  13: string pool
  14: i64 epoch
  15: string phase
  16: string conflict
  17: i64 since_version
  18: string maintenance_phase
  19: string wave
  20: i64 wave_version
  21: i64 maintenance_since
  22: string incarnation_before
  23: string maintenance_detail
  24: map<string, i64> maintained
}

struct MemberRecord {
  1: string node_id
  2: string incarnation
  3: string data_centre
  4: string host
  5: i32 port
  6: bool durable
  7: bool live
  8: bool suspect
  9: i64 since_version
}

union ConfigObject {
  1: PoolRecord pool
  2: LabelsRecord labels
  3: SelectorRecord selector
}

struct Change {
  1: string change_id
  2: string digest
  3: string operator_name
  4: i64 expected_version
  5: ConfigObject content
}

struct ReportInstance {
  1: InstanceRecord instance
}

struct ReportMember {
  1: MemberRecord member
}

struct BeginClaim {
  1: string key
  2: string digest
  3: string owner
  4: string owner_incarnation
  5: string claim_id
  6: i64 key_time_ms
}

// `released` says that no byte has left; otherwise the claim has ended.
struct EndClaim {
  1: string key
  2: string claim_id
  3: bool released
}

// First step of a move: no new work for the instance.
struct BeginDrain {
  1: string instance_id
  2: i64 epoch
  3: string reason
}

// Last step of a move: the pool that matches now, or none.
struct FinishDrain {
  1: string instance_id
  2: i64 epoch
}

// An endpoint has ceased to announce itself.
struct ReportLost {
  1: string instance_id
  2: string incarnation
  3: i64 sequence
}

// The right to take an instance out of service for a wave; counts as unavailable
// from the moment it is committed.
struct GrantMaintenance {
  1: string instance_id
  2: string wave
  3: i64 wave_version
}

struct AdvanceMaintenance {
  1: string instance_id
  2: string wave
  3: i64 wave_version
  4: string from_phase
  5: string to_phase
  6: string detail
}

// A member is not heard any more; those who are left take note first.
struct SuspectMember {
  1: string node_id
  2: string incarnation
}

struct MarkMemberDown {
  1: string node_id
  2: string incarnation
}

// Claims whose keys are older are forgotten, and such keys can never run again.
struct ForgetClaims {
  1: i64 before_ms
}

union Command {
  1: Change change
  2: ReportInstance instance
  3: ReportMember member
  4: BeginClaim begin_claim
  5: EndClaim end_claim
  6: BeginDrain begin_drain
  7: FinishDrain finish_drain
  8: SuspectMember suspect_member
  9: MarkMemberDown mark_member_down
  10: ForgetClaims forget_claims
  11: ReportLost lost
  12: GrantMaintenance grant_maintenance
  13: AdvanceMaintenance advance_maintenance
}

struct Configuration {
  1: i64 version
  2: list<PoolRecord> pools
  3: list<LabelsRecord> labels
  4: list<SelectorRecord> selectors
  5: list<InstanceRecord> instances
  6: list<MemberRecord> members
}

struct ChangeResult {
  1: string change_id
  2: string digest
  3: bool accepted
  4: i64 version
  5: string reason
  6: string detail
  7: string source
}

struct ClaimRecord {
  1: string key
  2: string digest
  3: string owner
  4: string owner_incarnation
  5: string claim_id
  6: string state
  7: i64 key_time_ms
}

struct ControlImage {
  1: Configuration configuration
  2: list<ChangeResult> changes
  3: list<ClaimRecord> claims
  4: i64 claims_horizon_ms
}

// ---- control for the entry instances --------------------------------------

enum Status {
  OK = 1
  NOT_LEADER = 2
  NO_QUORUM = 3
  TIMEOUT = 4
  REFUSED = 5
  UNKNOWN = 6
}

struct ProposeRequest {
  1: i64 request_id
  2: Command command
  3: i32 timeout_ms
}

struct ProposeAnswer {
  1: i64 request_id
  2: Status status
  3: string leader
  4: ChangeResult change
  5: ClaimRecord claim
  6: i64 version
}

struct ConfigDelta {
  1: i64 version
  2: Command command
}

// What an entry instance holds, said by itself and passed on by its peers.  It
// gives no new work to the instances that drain under the version it holds;
// `busy` lists those of them on which its earlier work still runs.  `age_ms` says
// how long ago the member said so, when a peer passes it on.
struct MemberAck {
  1: string node_id
  2: string incarnation
  3: i64 held_version
  4: i64 in_force_version
  5: list<string> busy
  6: i32 age_ms
}

struct FetchRequest {
  1: i64 request_id
  2: string node_id
  3: string incarnation
  4: i64 known_version
  5: list<MemberAck> acks
  6: i32 wait_ms
}

struct FetchAnswer {
  1: i64 request_id
  2: Status status
  3: i64 version
  4: Configuration full
  5: list<ConfigDelta> deltas
  6: i32 lease_ms
  7: string leader
}

struct StatusRequest {
  1: i64 request_id
  2: string change_id
}

struct ClaimLookup {
  1: i64 request_id
  2: string key
  3: i32 timeout_ms
}

struct ClaimLookupAnswer {
  1: i64 request_id
  2: Status status
  3: string leader
  4: ClaimRecord claim
}

struct NodeStatus {
  1: string node_id
  2: string data_centre
  3: i64 in_force_version
  4: i64 age_ms
}

struct StatusAnswer {
  1: i64 request_id
  2: Status status
  3: string node_id
  4: string leader
  5: i64 term
  6: i64 commit_index
  7: i64 version
  8: list<NodeStatus> entries
  9: ChangeResult change
}

service Control {
  VoteAnswer vote(1: VoteRequest request)
  AppendAnswer append(1: AppendRequest request)
  SnapshotAnswer install(1: SnapshotChunk request)
  TakeOverAnswer take_over(1: TakeOverRequest request)
  ProposeAnswer propose(1: ProposeRequest request)
  FetchAnswer fetch(1: FetchRequest request)
  StatusAnswer status(1: StatusRequest request)
  ClaimLookupAnswer lookup(1: ClaimLookup request)
}

// ---- between entry instances ----------------------------------------------

struct ShareRequest {
  1: i64 request_id
  2: string node_id
  3: MemberAck ack
  4: list<InstanceRecord> announcements
}

// `lease_ms` is 0 when the sender holds an older version or the answering member
// is not listed.
struct ShareAnswer {
  1: i64 request_id
  2: MemberAck ack
  3: i32 lease_ms
}

struct HttpHeader {
  1: string name
  2: string value
}

struct ForwardRequest {
  1: i64 request_id
  2: string service_name
  3: string method
  4: string path
  5: list<HttpHeader> headers
  6: binary body
  7: i32 timeout_ms
  8: string traceparent
  9: string key
  10: map<string, string> labels
}

struct ForwardAnswer {
  1: i64 request_id
  2: string outcome
  3: i32 status
  4: list<HttpHeader> headers
  5: binary body
  6: string reason
  7: string detail
  8: string instance_id
}

struct KeptAnswerRequest {
  1: i64 request_id
  2: string key
}

struct KeptAnswer {
  1: i64 request_id
  2: bool held
  3: i32 status
  4: list<HttpHeader> headers
  5: binary body
  6: string instance_id
}

// Asks a peer for some of its slots of one instance.  The same transfer id gets the
// same answer again.
struct BorrowRequest {
  1: i64 request_id
  2: string node_id
  3: string incarnation
  4: string instance_id
  5: i32 wanted
  6: i64 transfer_id
}

struct BorrowAnswer {
  1: i64 request_id
  2: string incarnation
  3: i32 given
}

service Entry {
  ShareAnswer share(1: ShareRequest request)
  FetchAnswer fetch(1: FetchRequest request)
  ForwardAnswer forward(1: ForwardRequest request)
  KeptAnswer kept(1: KeptAnswerRequest request)
  BorrowAnswer borrow(1: BorrowRequest request)
}
