// Messages between azurepier's own processes. Each message travels in one
// length-prefixed frame whose first byte names the struct (azurepier.wire).
// All durations are in milliseconds.

namespace py azurepier.wire.gen.messages

/** First message in both directions of each connection. */
struct Hello {
  1: i32 protocol
  2: string role            // "entry" or "endpoint"
  3: string name
  4: string incarnation     // differs for each run of a process
  5: i64 session            // grows with each connection of an incarnation
  6: string domain
  7: string address         // "host:port" for peers; entries only
  8: string web_address     // base URL of the HTTP interface
  9: i64 config_version
  10: string worker         // endpoints only, as are all following fields
  11: i32 slots
  12: list<string> kinds
  13: i32 largest_size
  14: binary nonce          // for the proof of the shared key
  15: binary proof
  // Entries of pools only: the sender asks for configurations in parts and
  // sends them so; earlier versions ignore it.
  16: bool config_parts
  // Processes of pools only: the sender confirms cancels (entries), or passes
  // them on and refuses canceled jobs (endpoints); earlier versions don't.
  17: bool relays_cancels
}

/** Second message when a shared key is set: proves knowledge of the key. */
struct Proof {
  1: binary mac
}

struct Heartbeat {
  1: i64 config_version
  2: i64 members_version
  3: i32 queued             // tasks waiting (entries)
  4: i64 granted            // endpoints only, as are the next two fields
  5: i32 free
  6: i32 long_free
  7: i64 seen
  8: list<i64> acked        // outcomes received (entries)
  9: bool active            // to endpoints: this entry dispatches new jobs
  10: i32 rank              // to entries: see azurepier.entry._leader
}

struct EntryInfo {
  1: string name
  2: string incarnation
  3: string address
  4: string web_address
  5: string domain
  6: bool draining
}

struct Members {
  1: i64 version
  2: list<EntryInfo> entries
  3: string leader          // name of the entry that dispatches new jobs
}

/**
 * A whole configuration (base == 0) or the difference from `base`. Between
 * entries of pools also part of the text of a configuration, which has all the
 * optional fields.
 */
struct ConfigUpdate {
  1: i64 version
  2: i64 base
  3: binary body
  4: i64 offset             // of the part in the text
  5: i64 total              // bytes of the whole text
  6: i64 checksum           // CRC-32 of the whole text
}

/** With the optional fields, asks for parts of a text from an offset on. */
struct ConfigRequest {
  1: i64 have
  2: i64 version
  3: i64 offset
}

struct Start {
  1: i64 seq                // number of this start on the pair of processes
  2: string job_id
  3: i32 task
  4: string customer
  5: string kind
  6: binary payload         // JSON
  7: bool urgent
  8: bool long_running      // expected to exceed the limit for short tasks
  9: bool idempotent
  10: i32 limit_ms          // time left until the job's deadline
}

struct StartBatch {
  1: list<Start> starts
  2: i32 want               // slots wanted beyond these starts; -1: as before
  3: list<i64> acked        // outcomes received, by sequence number
}

struct Want {
  1: i32 count
}

struct CancelTasks {
  1: list<i64> seqs
}

struct Outcome {
  1: i64 seq
  2: i32 status             // see azurepier.kernel.Status
  3: binary output          // JSON, or the error text
  4: i32 run_ms
}

struct OutcomeBatch {
  1: list<Outcome> outcomes
  2: i64 granted            // ordinary starts allowed in all on this session
  3: i32 free               // free slots, whoever has the credits for them
  4: i32 long_free          // long-running tasks that may start
  5: i64 seen               // highest sequence number received
}

struct Grant {
  1: i64 granted
  2: i32 free
  3: i32 long_free
  4: i64 seen
}

/** First message of an endpoint on each session. */
struct ResumeReport {
  1: i64 highest            // highest sequence number ever received
  2: list<i64> known        // starts that run or whose outcomes follow
  3: i64 granted
  4: i32 free
  5: i32 long_free
}

struct FenceJob {
  1: i64 query
  2: string job_id
  3: string customer        // tasks of other customers are not reported
}

struct TaskReport {
  1: i32 task
  2: bool running
  3: i32 status
  4: binary output
  5: i64 check              // CRC-32 of the task's kind and payload
}

struct FenceReport {
  1: i64 query
  2: string job_id
  3: list<TaskReport> tasks
  4: bool more              // further reports on the same query follow
}

struct Leave {
  1: string reason
}

/** A caller's request passed on to the entry that owns the job. */
struct Forward {
  1: i64 query
  2: string action          // "submit", "fetch", "cancel" or "ids"
  3: string job_id
  4: string customer
  5: binary body            // JSON of the job, for "submit"
  6: i32 wait_ms
  7: i32 hops               // entries that passed the request on
  8: bool detach
  9: i32 count              // job ids wanted, for "ids"
}

struct ForwardAnswer {
  1: i64 query
  2: binary body            // JSON form of azurepier.kernel.Answer
}

/** An entry's report to a customer's home entry: what it wants and has. */
struct QuotaRequest {
  1: string customer
  2: double rate            // task starts per second that are wanted
  3: i32 concurrent         // running tasks that are wanted
  4: i32 running
  5: double kept_rate       // part of its minimum that the sender keeps
  6: i32 kept_concurrent
  7: double leased_rate     // lease in force at the sender
  8: i32 leased_concurrent
  9: i32 leased_ms          // time left of that lease
  10: double run            // names the run of the sending process
  11: double sent_at        // sender's clock (s), grows with each message
  12: double echo           // sent_at of the newest grant seen, or 0
}

/** A lease, or (ttl_ms == 0) the wish for a report. */
struct QuotaGrant {
  1: string customer
  2: double rate
  3: i32 concurrent
  4: i32 ttl_ms             // counts from the request named by `echo`
  5: double tokens          // starts that are allowed at once
  6: double run
  7: double sent_at
  8: double echo            // sent_at of the newest request seen, or 0
}

// Pool dispatch: entries that place tasks by the resources of an endpoint
// (azurepier.dispatch, azurepier.runner).

/** What an endpoint can take; sent when it changes. */
struct PoolState {
  1: string pool            // the workers that serve the same queues
  2: list<string> labels
  3: i32 cpu                // capacity, in thousandths of a core
  4: i32 mem_mb
  5: i32 gpu
  6: i32 free_cpu
  7: i32 free_mem_mb
  8: i32 free_gpu
  9: bool accepting         // false while the worker leaves or is lost
  10: i64 seen              // highest order received on this pair
  11: double speed          // measured run time: declared / actual
  12: i32 failures          // tasks that failed in a row, of distinct jobs
  13: double wanted         // cores that the other entries want of it
  14: i32 entries           // entries that it serves
  // Set where orders may wait; older versions don't send them. Free CPU
  // expected after 25, 50, 100, 200 and 400 ms, with the waiting orders
  // started, and number of orders that wait.
  15: list<i32> forecast_cpu
  16: i32 waiting_orders
  // Jobs that arrive at the other entries; set twice a second while an entry
  // sends its own. Older versions don't send it. Three numbers for each
  // priority, the most urgent first: the priority, the CPU that the tasks take
  // (thousandths of a core a second) and the mean need of a job (thousandths).
  17: list<i32> arriving
}

struct RunOrder {
  1: i64 seq                // number on the pair of processes
  2: string task
  3: i32 attempt            // start of this task, counted from 1
  4: i32 spec               // position in the message's `specs`
  5: i32 cpu
  6: i32 mem_mb
  7: i32 gpu
  8: i32 expected_ms        // declared run time
  9: i32 suspicion          // workers that the task may have crashed, if any
  // What the worker has to be; older versions don't send and check it.
  10: string label          // label that it must have, if any
  11: string pool
  12: i32 max_per_worker    // tasks of the step there at a time, if limited
  13: i32 wait_ms           // how long it may wait for room; not if absent
}

struct RunOrders {
  1: list<RunOrder> orders
  2: list<string> specs     // a job's tasks share theirs
}

struct RunStops {
  1: list<i64> seqs
}

struct RunEnd {
  1: i64 seq
  2: i32 status             // see azurepier.kernel.Status
  3: i32 run_ms
  4: string reason          // why it was refused or stopped, for the log
}

struct RunEnds {
  1: list<RunEnd> ends
  2: PoolState state
}

/** First message of an endpoint on each session. */
struct RunsKnown {
  1: list<i64> running
  2: list<RunEnd> ends      // recent ends, acknowledged or not
  3: PoolState state
  4: i64 session            // rises with each; older versions don't send it
}

struct CanceledJob {
  1: string job_id
  2: i32 age_ms             // time since the cancel
}

/**
 * Asks which entries have all cancels that were passed on before. Each entry
 * forwards it to the others and confirms once all of these have done so.
 */
struct CancelCheck {
  1: string origin          // incarnation of the entry that asks
  2: i64 number
  3: list<string> job_ids   // of which the origin wants to know who had them
}

struct CancelConfirmation {
  1: string origin          // as in the check, like the next field
  2: i64 number
  3: list<string> confirmed // addresses of entries behind the sender
  4: list<string> stopped   // jobs of the check that an entry has stopped
  5: bool has_older         // an entry there is of a version without checks
}

/** Keeps a link alive in both directions. */
struct Beat {
  1: i64 config_version
  3: double demand          // cores that an entry wants of the receiver
  // Set after a change and on a new connection; older versions ignore them.
  4: i64 evacuations_revision
  5: list<string> evacuated // failure domains that take no new runs
  6: i32 store_silent_ms    // set while the sender gets nothing of the store
  // RunsKnown and RunEnds received on this connection; older versions don't
  // send it.
  7: i64 reports_received
  // Older versions ignore them, and don't exchange them with endpoints.
  8: list<CanceledJob> canceled
  // Between entries that relay cancels.
  9: list<CancelCheck> cancel_checks
  10: list<CancelConfirmation> cancel_confirmations
  // Between entries; older versions ignore them. Largest recent number of
  // endpoint processes that accepted orders of the sender, and of the receiver
  // before it started, as far as the sender knows.
  11: i32 endpoints
  12: i32 receiver_endpoints
  // To an endpoint, set where capacity is kept for urgent jobs: the share of
  // the receiver in the entry's own arrivals, as in PoolState. Older versions
  // ignore it.
  13: list<i32> arriving
}

struct KnownEntry {
  1: string address
  2: string domain
  3: i32 age_ms             // time since anybody heard from it
}

/** The entries that the sender knows. */
struct EntriesKnown {
  1: list<KnownEntry> entries
}

struct RunStep {
  1: i64 seq
  2: i32 percent            // done
  3: i32 elapsed_ms
  4: i32 remaining_ms       // at the present rate; -1: it stands still
}

/** How far the runs are, and the room; sent while something runs. */
struct RunProgress {
  1: list<RunStep> steps
  2: PoolState state
}
