// SPDX-License-Identifier: MIT
// Messages between poppyway's own processes. The generated code is committed in gen/.
namespace cpp poppyway.wire

// ---- Hosted deployments: the operator's document and the backend servers that register ----------
// One complete configuration; the highest version wins.
struct Document { 1: i64 version; 2: binary body }
// An edit of a text. The result is, for each edit in turn, `length` bytes of the base text at
// `offset` followed by the bytes of `own`.
struct TextEdit { 1: i64 offset; 2: i64 length; 3: binary own }
struct TextEdits { 1: list<TextEdit> edits }
// The step from one version of the document to a later one. `edits` holds compressed `TextEdits`.
// Base 0 is the empty text, so a step from it holds the complete document. `digest` is the digest
// of the text after the step. `bytes` is the size of the edits, even if they are omitted here and
// fetched in pieces.
struct DocumentChange { 1: i64 base; 2: i64 version; 3: i64 digest; 4: binary edits; 5: i64 bytes }
enum ServerStage { READY = 0, LEAVING = 1, GONE = 2 }
// A process of a backend server. `sequence` orders the heartbeats of the process; `index` is the
// log index of the last change.
struct ServerRecord {
  1: string id; 2: string pool; 3: string address; 4: i32 port; 5: string data_centre;
  6: i32 slots; 7: ServerStage stage; 8: i64 sequence; 9: i64 index;
  // The version of its software, by which a rollout distinguishes servers.
  10: string version;
  // Set while a rollout in progress withholds ordinary work from its version.
  11: bool held_back
  // The process start time in Unix milliseconds; zero: not reported. A server may restart under the
  // same id; the process with the later start time is the current one.
  12: i64 born;
  // How much longer the server is cold (slow after its start), as of its last report; zero: warm.
  13: i32 cold_for_ms;
  // The log index of the last entry that showed this server at its address: its registration, or a
  // `ServerPresence`. Negative: none did. Zero: written by an earlier build, which only knew `index`.
  14: i64 present_index
}
// A registered server is at its address now, in place of any other that registered there: it was
// heard steadily, or it responded there. `returns`: also if a removal or drain was recorded.
struct ServerPresence { 1: string id; 2: i64 born; 3: bool returns }

// ---- Evacuations: the servers of a data centre get no new work ----------------------------------
// `known` is the number of the data centre's last order that the instance knew when it accepted
// this one, so that an order which reaches the leader late doesn't undo later ones. Not set: the
// leader sets it.
struct EvacuationOrder { 1: string data_centre; 2: bool ends; 3: optional i64 known }
// `number` counts the orders of a deployment that had an effect; `index` is the log index of this
// order. The last order of each data centre is kept, whether it has ended or not.
struct Evacuation { 1: string data_centre; 2: i64 number; 3: bool ended; 4: i64 index }

// ---- Rollouts: a pool's work moves to servers of another version --------------------------------
// TRIAL: the target version gets a bounded share of the work. MOVING: the trial succeeded, and the
// target version gets all new work.
enum RolloutStage { TRIAL = 0, MOVING = 1, COMPLETED = 2, ROLLED_BACK = 3 }
struct RolloutOrder { 1: string pool; 2: string target; 3: i64 duration_ms }
// `number` identifies the rollout within a deployment. As of the leader's last report, `left_ms` is
// the time until the deadline, `requests` the number of requests to the pool since the order, and
// `allowed` how many of these the target version was allowed to get. `finding` is what that leader
// had found about the target, from which a new leader continues.
enum RolloutFinding { TOO_LITTLE = 0, DOUBTFUL = 1, GOOD = 2, FAILS = 3, SLOW = 4 }
struct Rollout {
  1: string pool; 2: string target; 3: i64 number; 4: i64 duration_ms; 5: RolloutStage stage;
  6: i64 left_ms; 7: i64 requests; 8: i64 allowed; 9: string why; 10: RolloutFinding finding
}
// A decision of the leader on the rollout with that number; it is rejected if that rollout has
// ended.
struct RolloutStep {
  1: string pool; 2: i64 number; 3: RolloutStage stage; 4: i64 left_ms; 5: i64 requests;
  6: i64 allowed; 7: string why; 8: RolloutFinding finding
}
enum RolloutVerdict { TAKEN = 0, UNDER_WAY = 1, OTHER_UNDER_WAY = 2 }

// ---- Requests that crash servers -----------------------------------------------------------------
// What an instance saw: fingerprints of requests that were running when a server process crashed,
// and of requests that have run to a complete response since and so crash no server. `process`: 0:
// no crash is reported. `now_ms`: the reporter's wall clock.
// Of prompts that several requests share: `parts` of those that were running, `cleared_parts` of
// those with a response since.
struct SuspectPart { 1: i64 part; 2: bool answered }
struct CrashReport {
  1: i64 process; 2: list<i64> running; 3: list<i64> cleared; 4: i64 now_ms;
  5: list<SuspectPart> parts; 6: list<i64> cleared_parts
}
struct CrashSuspectState {
  1: i64 fingerprint; 2: list<i64> crashes; 3: i64 last_ms;
  4: bool is_part; 5: i64 first_ms; 6: bool answered; 7: i32 ended_quarantines
}
// A request whose prompt has all of these parts must not be sent to servers.
struct QuarantinedParts { 1: list<i64> parts; 2: i64 first_ms }

// ---- Configuration -------------------------------------------------------------------------
struct ObjectKey { 1: string kind; 2: string name }
struct ObjectText { 1: string kind; 2: string name; 3: string body }
struct ConfigChange {
  1: string change_id; 2: i64 base_version; 3: string author;
  4: list<ObjectText> upserts; 5: list<ObjectKey> removals
}
struct ConfigOutcome { 1: i32 code; 2: i64 version; 3: string message }
struct ConfigDelta {
  1: i64 from_version; 2: i64 to_version; 3: bool whole;
  4: list<ObjectText> upserts; 5: list<ObjectKey> removals;
  // Hosted deployments: the steps of the operator's document in order. The last step may omit its
  // edits if they are large; they are then fetched in pieces.
  13: list<DocumentChange> steps; 7: list<ServerRecord> servers; 8: i64 servers_index;
  // The leader that the member follows; term 0: it knows no leader.
  9: i64 leader_term; 10: string leader_address; 11: i32 leader_port;
  // Every reply holds all ordered evacuations, since there are few and mostly none.
  12: list<Evacuation> evacuations;
  // The fingerprints of all requests that must not be sent to servers; unset: no change since
  // `servers_index` of the poll.
  14: optional list<i64> quarantined;
  15: list<QuarantinedParts> quarantined_parts  // With `quarantined`.
}
struct HistoryRow { 1: i64 version; 2: string change_id; 3: string author; 4: i32 upserts; 5: i32 removals }

// ---- Dispatch ledger -----------------------------------------------------------------------
enum KeyState { RUNNING = 0, DONE = 1, UNKNOWN = 2, RELEASED = 3 }
struct StoredAnswer { 1: i32 status; 2: string content_type; 3: string body; 4: bool kept }
struct LedgerClaim {
  1: string key; 2: string owner; 3: i64 fingerprint; 4: i64 now_ms; 5: i64 retention_ms;
  6: bool rerun_unknown; 7: i64 ref
}
enum ClaimVerdict { GRANTED = 0, RUNNING = 1, DONE = 2, UNKNOWN = 3, KEY_REUSED = 4, UNAVAILABLE = 5 }
struct ClaimResult { 1: ClaimVerdict verdict; 2: StoredAnswer answer }
enum FinishKind { DONE = 0, NOT_RUN = 1, UNKNOWN = 2 }
struct LedgerFinish {
  1: string key; 2: string owner; 3: FinishKind kind; 4: StoredAnswer answer; 5: i64 ref
}

// ---- Leases and instances ------------------------------------------------------------------
struct LeaseGrant { 1: string lease; 2: string holder; 3: string address; 4: i32 port; 5: i64 epoch }
struct InstanceGone { 1: string incarnation }

// ---- Replicated log ------------------------------------------------------------------------
// While one voter replaces another, both have `voter` set: a decision needs a majority of the voters
// before the replacement, which `joining` isn't one of, and a majority of those after it, which
// `leaving` isn't one of.
struct MemberInfo {
  1: i64 id; 2: string name; 3: string address; 4: i32 port; 5: bool voter;
  6: string data_centre;  // Instances prefer to poll a member in their own data centre.
  7: bool leaving; 8: bool joining
}
struct Membership { 1: list<MemberInfo> members }
union Command {
  1: ConfigChange config; 2: LedgerClaim claim; 3: LedgerFinish finish; 4: LeaseGrant lease;
  5: InstanceGone gone; 6: Membership membership; 7: bool noop; 8: Document document;
  9: ServerRecord server; 10: RolloutOrder rollout; 11: RolloutStep rollout_step;
  12: EvacuationOrder evacuation; 13: DocumentChange document_change; 14: CrashReport crash;
  15: ServerPresence presence
}
struct LogEntry { 1: i64 index; 2: i64 term; 3: Command command }
struct HardState { 1: i64 term; 2: i64 vote }
struct Snapshot {
  1: i64 index; 2: i64 term; 3: Membership membership; 4: binary state
}
struct VoteRequest { 1: i64 term; 2: i64 last_index; 3: i64 last_term; 4: bool pre }
struct VoteReply { 1: i64 term; 2: bool granted; 3: bool pre }
// A member that doesn't reply to the leader, and the time since its last reply.
struct SilentMember { 1: i64 id; 2: i64 silent_ms }
struct AppendRequest {
  1: i64 term; 2: i64 prev_index; 3: i64 prev_term; 4: list<LogEntry> entries; 5: i64 commit;
  6: i64 sent_us;  // The leader's clock at sending; the reply returns it.
  7: optional list<SilentMember> silent  // For the next leader.
}
struct AppendReply { 1: i64 term; 2: bool ok; 3: i64 match; 4: i64 sent_us }
struct SnapshotRequest { 1: i64 term; 2: Snapshot snapshot }
union LogBody {
  1: VoteRequest vote; 2: VoteReply vote_reply; 3: AppendRequest append; 4: AppendReply append_reply;
  5: SnapshotRequest snapshot
}
struct LogMessage { 1: i64 from_id; 2: i64 to_id; 3: LogBody body; 4: string cluster; 5: string from_name }

// A blank member sends Hello to find a cluster; the other members reply with what they know of one.
struct Hello { 1: string cluster; 2: MemberInfo member; 3: bool blank }
struct HelloReply { 1: MemberInfo member; 2: bool blank; 3: i64 leader_id; 4: list<MemberInfo> members }

// ---- Snapshot of the state machine ----------------------------------------------------------
struct ObjectState { 1: ObjectText object; 2: i64 version }
struct RemovalState { 1: ObjectKey key; 2: i64 version }
struct ChangeState { 1: string change_id; 2: i64 fingerprint; 3: ConfigOutcome outcome }
struct KeyRecord {
  1: string key; 2: string owner; 3: i64 ref; 4: i64 fingerprint; 5: KeyState state;
  6: i64 expires_ms; 7: StoredAnswer answer
}
struct MachineState {
  1: i64 version; 2: list<ObjectState> objects; 3: list<RemovalState> removals;
  4: i64 whole_before; 5: list<HistoryRow> history; 6: list<ChangeState> changes;
  7: list<KeyRecord> keys; 8: list<LeaseGrant> leases; 9: i64 now_ms; 10: Document document;
  11: list<ServerRecord> servers; 12: list<Rollout> rollouts; 13: list<Evacuation> evacuations;
  14: list<CrashSuspectState> crash_suspects; 15: i64 quarantine_index
}

// ---- Instances to the leader ---------------------------------------------------------------
struct PeerAddress { 1: string address; 2: i32 port }
struct Heartbeat {
  1: string instance; 2: string incarnation; 3: string address; 4: i32 port; 5: string data_centre;
  6: i64 version_in_force; 7: bool ready; 8: bool stopping; 9: string http; 10: i64 leases_seen;
  11: i64 members_seen  // The digest of the last member list from the leader.
  // The port on which the instance passes on calls of others to servers; zero: it doesn't now.
  12: i32 relay_port;
  13: bool cut_off;  // The instance reaches no backend servers itself.
  14: bool wants_helpers
}
struct HeartbeatReply { 1: list<LeaseGrant> leases; 2: i64 version; 3: i64 leader_term; 4: i32 live; 5: i64 leases_index; 6: bool leases_same;
  7: list<MemberInfo> members; 8: i64 document_version; 9: i64 servers_index;
  10: i64 members_digest;  // `members` is sent only to an instance whose list differs.
  // With `wants_helpers`: some instances that pass on calls to servers.
  11: list<PeerAddress> helpers
}
struct Propose { 1: list<Command> commands }
union CommandResult { 1: ConfigOutcome config; 2: ClaimResult claim; 3: bool done; 4: RolloutVerdict rollout }
struct ProposeReply { 1: list<CommandResult> results }
// What a poll in a hosted deployment requests. SERVERS: the servers, the evacuations and the
// leader's address. DOCUMENT: the operator's document.
enum NewsKind { SERVERS = 0, DOCUMENT = 1 }
struct ConfigPoll {
  1: i64 have_version; 2: i64 wait_ms; 3: i64 have_document; 4: i64 have_servers; 5: bool hosted;
  6: i64 have_term; 7: NewsKind kind
}
// Requests a piece of a step's edits, starting at `offset`. A reply without bytes means that the
// member doesn't keep that step, or no longer does.
struct PieceRequest { 1: i64 base; 2: i64 version; 3: i64 offset }
struct Piece { 1: binary bytes }

// ---- Brokers -------------------------------------------------------------------------------
struct DemandItem {
  1: i64 ref; 2: i32 tier; 3: i64 prompt_tokens; 4: list<i64> prefixes; 5: i32 age_ms;
  6: string workspace; 7: string event; 8: string model; 9: list<string> avoid; 10: i32 deadline_ms
}
enum UseStage { FIRST_TOKEN = 0, FINISHED = 1, RETURNED = 2, FAILED = 3 }
struct CreditUse { 1: i64 credit; 2: UseStage stage; 3: i64 elapsed_us }
struct HeldCredit { 1: i64 credit; 2: i64 ref; 3: string engine; 4: i64 prompt_tokens }
struct Demand {
  1: string pool; 2: string incarnation; 3: i64 epoch; 4: bool resync; 5: list<HeldCredit> held;
  6: list<DemandItem> items; 7: list<i32> waiting; 8: list<CreditUse> uses; 9: i64 floor_ack;
  10: i64 sequence
}
struct Grants {
  1: string pool; 2: i64 epoch; 3: list<HeldCredit> credits; 4: list<i64> unreachable;
  5: i32 floor; 6: i64 floor_epoch; 7: bool contended; 8: double drain_per_s; 9: i32 gateways;
  10: list<i32> backlog; 11: i64 lease_ms; 12: i64 sequence; 13: bool not_broker
}

// ---- Slots ("places" here): requests of hosted instances to the broker ------------------------
struct PromptPart { 1: i64 id; 2: i32 tokens }
// A request that needs a slot at a backend server now. `ref` is the instance's own identifier for
// it.
struct PlaceAsk {
  1: i64 ref; 2: string pool; 3: string workspace; 4: i32 tier; 5: i32 rank; 6: i64 prompt_tokens;
  7: i64 expected_tokens; 8: i32 aim_ms; 9: i32 waited_ms; 10: i32 left_ms; 11: i32 pause_aim_ms;
  12: i32 wait_ms; 13: list<PromptPart> parts; 14: list<string> tried; 15: double cost;
  16: double reserve; 17: double limit_rate; 18: double limit_burst; 19: i64 route;
  // The regions that may serve the request; they apply only if `bound` is set.
  20: list<string> regions; 21: bool bound
  22: bool retried  // A server got the request before; the broker counts it against the retry limit.
  // The request goes on with a stream that a server has begun. Zero in the next two: not known.
  23: bool continues;
  24: i64 stream;   // Key of the stream.
  25: i64 software  // The software version that began it.
}
// A stream and the software version that began it; zero: not known for sure.
struct StreamBegun { 1: i64 stream; 2: i64 software }
// A slot that an instance took without a broker, or that an earlier broker granted.
struct PlaceHeld {
  1: i64 ref; 2: string server; 3: i64 reading_tokens; 4: i64 expected_tokens;
  5: i64 born  // The process start time of the server when the slot was taken.
}
enum PlaceSign { NONE = 0, GOOD = 1, BAD = 2, UNREACHABLE = 3 }
// The outcome of a request at its slot. `ran`: the server may have run it.
struct PlaceReport {
  1: i64 ref; 2: i64 tokens_read; 3: i32 first_ms; 4: bool ended; 5: bool ran; 6: PlaceSign sign;
  7: i32 service_ms; 8: i64 events; 9: i32 span_ms; 10: i32 pause_ms; 11: bool failed;
  12: i32 connect_us;  // The time to open a new connection; zero: none was opened.
  // `head`: a response head has arrived since the last report. With it, `limit_per_s` is the number
  // of requests a second that the server states to take from all instances; unset: any number.
  13: optional double limit_per_s; 14: bool head;
  // With `head`: rejections a second above which the server ends; unset: it isn't brittle.
  15: optional double max_rejections
}
// The rest of a workspace's quota as a broker last reported it, and what the instance has charged
// to it since without a broker.
struct LimitUse {
  1: string workspace; 2: double left; 3: i32 age_ms; 4: double spent_alone; 5: double rate;
  6: double burst; 7: i64 epoch  // The epoch of the broker that reported `left`.
}
// The number of retries for a pool that a broker last reported as allowed, and how many the instance
// has made since without a broker.
struct RetryUse {
  1: string pool; 2: double left; 3: i32 age_ms; 4: double used_alone
  5: i64 epoch  // The epoch of the broker that reported `left`; zero: none did.
}
// A server notice: what a server announced in a response to the instance. `back_off_ms`: the server
// asks that instance to send no requests for this long from now on; zero: no backoff. `leaving`:
// the server is about to stop. `limit_per_s`: the number of requests a second that the server stated
// to take from all instances together; unset: any number.
struct ServerWord {
  1: string server; 2: i64 born; 3: i32 back_off_ms; 4: bool leaving; 5: optional double limit_per_s;
  6: optional double max_rejections  // Rejections a second above which the server ends.
}
// A server responded at its address to a request for another one that registered there.
struct ServerResponded { 1: string server; 2: string expected }
// Sent by an instance. With `resync`, `held` lists all slots that it holds and `words` all server
// notices that are still in force.
struct PlaceBatch {
  1: string incarnation; 2: string data_centre; 3: i64 epoch; 4: bool resync; 5: i32 instances;
  6: list<PlaceHeld> held; 7: list<LimitUse> limits; 8: list<PlaceAsk> asks; 9: list<i64> withdrawn;
  10: list<PlaceReport> reports; 11: list<ServerWord> words; 12: list<RetryUse> retries;
  13: list<StreamBegun> begun;  // With `resync`: all streams that may still be continued.
  14: list<ServerResponded> responded
}
enum PlaceVerdict {
  PLACED = 0, QUEUED = 1, NO_ROOM = 2, OVER_LIMIT = 3, NO_SERVER = 4, NO_RETRY = 5,
  UNKNOWN_STREAM = 6
}
struct PlaceAnswer {
  1: i64 ref; 2: PlaceVerdict verdict; 3: string server; 4: i32 first_ms; 5: double left;
  6: i32 come_back_ms;
  // The server's process start time and address. An instance that doesn't know the server yet, or
  // only an earlier process of it, can send the request with these.
  7: i64 born; 8: string address; 9: i32 port
  10: optional double retries_left  // Retries for the pool that the broker allows from now on.
  11: i64 software  // Software version of the server; zero: not stated.
}
struct PlaceAnswers {
  1: i64 epoch; 2: list<PlaceAnswer> answers; 3: bool not_broker;
  // All data centres that the broker considers lost or cut off; unset: this message doesn't report
  // them.
  4: optional list<string> suspects
}

// ---- The operator's document between members ---------------------------------------------------
// Requests the steps from the reader's version to the newest one; the reply is empty if the reader
// has it.
struct DocumentRead { 1: i64 have_version }
struct DocumentSteps { 1: list<DocumentChange> steps }

// ---- Operators -----------------------------------------------------------------------------
struct StatusRequest { 1: bool here }
struct InstanceStatus {
  1: string instance; 2: string incarnation; 3: string data_centre; 4: i64 version_in_force;
  5: bool ready; 6: bool stopping; 7: i64 age_ms; 8: string http; 9: string address; 10: i32 port
}
// `running`: requests that connected instances still have at servers of the data centre; -1:
// unknown here.
struct EvacuationStatus { 1: Evacuation evacuation; 2: i32 servers; 3: i32 running }
// `silent` and `tolerated_losses` (how many voters may still be lost) are known to a leader only; the
// latter isn't set elsewhere.
struct StatusReply {
  1: string instance; 2: i64 leader_id; 3: i64 term; 4: i64 commit; 5: i64 version;
  6: Membership membership; 7: list<InstanceStatus> instances; 8: list<LeaseGrant> leases;
  9: i64 ledger_keys; 10: bool leader_here; 11: i64 lease_age_ms; 12: list<string> leaving;
  13: list<EvacuationStatus> evacuations; 14: list<SilentMember> silent; 15: optional i32 tolerated_losses
}
struct ObjectsRequest { 1: bool history }
struct ObjectsReply { 1: i64 version; 2: list<ObjectText> objects; 3: list<HistoryRow> history }
struct DrainRequest { 1: string instance }
struct ErrorReply { 1: i32 code; 2: string message; 3: string leader_address; 4: i32 leader_port }

union Body {
  1: LogMessage log; 2: Hello hello; 3: HelloReply hello_reply; 4: Heartbeat heartbeat;
  5: HeartbeatReply heartbeat_reply; 6: Propose propose; 7: ProposeReply propose_reply;
  8: ConfigPoll poll; 9: ConfigDelta delta; 10: Demand demand; 11: Grants grants;
  12: StatusRequest status; 13: StatusReply status_reply; 14: ObjectsRequest objects;
  15: ObjectsReply objects_reply; 16: DrainRequest drain; 17: ErrorReply error; 18: bool done;
  20: Document document; 21: ServerRecord server_seen;
  22: PlaceBatch place_batch; 23: PlaceAnswers place_answers; 24: RolloutOrder rollout_order;
  25: string rollout_request; 26: Rollout rollout; 27: EvacuationOrder evacuation_order;
  28: DocumentChange document_change; 29: DocumentRead document_read; 30: DocumentSteps document_steps;
  31: PieceRequest piece_request; 32: Piece piece
}
struct Envelope { 1: i64 id; 2: bool reply; 3: Body body }
