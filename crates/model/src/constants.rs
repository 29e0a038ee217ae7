//! Every constant of the service, with its unit and its reason.
//!
//! Facts about a deployment are not here: they come from the settings file and
//! from the cloud's catalog.

// ---- protocol limits -------------------------------------------------------

/// Bytes a request body may hold (protocol page).
pub const MAX_BODY_BYTES: usize = 64 * 1024;
/// Bytes of a response that we read at most. Watches have no limit of their
/// own, so this guards only against a runaway peer.
pub const MAX_RESPONSE_BYTES: usize = 16 * 1024 * 1024;
/// Bytes of the head of a request or response; ours are below 1 KiB.
pub const MAX_HEAD_BYTES: usize = 8 * 1024;
/// Headers of a request or response; enough for any ordinary client.
pub const MAX_HEADERS: usize = 48;
/// Tasks a job may have (protocol page).
pub const MAX_TASKS: u64 = 100_000;
/// Machines a rental request may ask for (protocol page).
pub const MAX_RENT: u32 = 50;
/// Names a release request may hold (protocol page).
pub const MAX_RELEASE: usize = 100;
/// Machines a page of the rental list holds (protocol page).
pub const LIST_PAGE: u32 = 500;
/// Entries a page of a store listing holds: 512 KiB hold at least this many of
/// our largest records.
pub const STORE_PAGE: u32 = 400;

// ---- connections -----------------------------------------------------------

/// Idle connections kept per address beyond those in use; calls to one address
/// rarely overlap more than this.
pub const IDLE_PER_ADDRESS: usize = 4;
/// ms that an idle connection of ours is kept: longer than the regular calls
/// are apart, and short enough that those to machines that are gone don't pile
/// up.
pub const IDLE_KEEP_MS: u64 = 10_000;
/// ms to wait for a connection; within a zone one takes a few.
pub const CONNECT_MS: u64 = 1_000;
/// ms that an operator's command waits for its answer, as users do.
pub const ANSWER_MS: u64 = 5_000;

// ---- operators' policy -----------------------------------------------------

/// Bytes of memory that a policy script may use; it computes a few numbers.
pub const POLICY_MEMORY_BYTES: usize = 4 * 1024 * 1024;
/// ms that a policy script may take.
pub const POLICY_TIME_MS: u64 = 500;
/// Lua instructions between two looks at the clock.
pub const POLICY_LOOK_INSTRUCTIONS: u32 = 10_000;

// ---- clocks ----------------------------------------------------------------

/// Parts per thousand by which two steady clocks may differ: twice the 0.05 %
/// of the protocol page, since both sides may be off, rounded up.
pub const DRIFT_PER_MILLE: u64 = 2;
/// ms added to a lease before a machine counts as dead: timers fire late by a
/// few ms, and the answer that renewed the lease took time to be written.
pub const LEASE_MARGIN_MS: u64 = 700;

// ---- parts -----------------------------------------------------------------

/// ms that a hold lives without renewal. Longer than a restart takes (3 to 5 s
/// and loading), so that a node takes its own part back and nothing moves; no
/// longer, since a part whose holder is gone waits for it.
pub const HOLD_TTL_MS: u64 = 7_000;
/// ms between renewals: four unanswered ones may come before the hold ends, and a
/// hold that outlives its holder does so by 6 to 7 s.
pub const HOLD_RENEW_MS: u64 = 1_000;
/// ms that a part must have been without holder before a node other than its
/// home takes it: a home that is just starting goes first.
pub const TAKEOVER_WAIT_MS: u64 = 500;
/// ms that lie between two successors that might take a part: a taking and its
/// reading by the others.
pub const HEIR_STEP_MS: u64 = 500;
/// Bits of a machine token below the part's token: whether it holds a promise
/// (the highest), when the reading of the store began that it rests on, and the
/// machine's own fence counter. Revisions stay below 2^36, which takes ten years
/// at 200 changes a second.
pub const FENCE_BITS: u32 = 28;
/// Bits of the fence counter: calls of unknown fate between two promises, which
/// are some seconds apart or, without the store, a minute.
pub const COUNTER_BITS: u32 = 7;
/// ms of time of day that a promise is told in: its 20 bits come round after 48
/// days, of which a part held for so long stops promising until it is taken anew.
pub const PROMISE_STEP_MS: u64 = 4_000;
/// ms by which the reading behind a machine's promise may be older than the
/// newest before it is promised anew. Each makes its worker report once more.
pub const PROMISE_EVERY_MS: u64 = 12_000;
/// ms for which any owner answers reports without word from the store, at most:
/// `blind_s` of the policy can't be longer, since a successor that can't hear
/// the machines infers their end from it whatever its own policy says. Longer
/// than cuts seen so far (30 to 52 s); each second of it is one that work
/// behind a lost hall waits to begin anew.
pub const BLIND_MOST_MS: u64 = 60_000;
/// ms of the time that a cancellation allows which are kept for delivery when
/// a node answers reports without knowing the store, while some node still
/// tells of withdrawals before the last attempt's end.
pub const BLIND_MARGIN_MS: u64 = 2_000;

/// ms that an owner must have held its part before peers' word that its machines
/// come to them counts: a restart sends them round for some seconds.
pub const DEAF_AFTER_MS: u64 = 10_000;
/// ms for which a node leaves a part whose machines it can't hear to others at
/// first; longer than cuts usually last. Doubled each time it is so again.
pub const DEAF_MS: u64 = 60_000;
/// ms that the doubling stops at.
pub const DEAF_MOST_MS: u64 = 600_000;
/// ms between two messages to an owner whose machines come to us.
pub const STRAYS_GAP_MS: u64 = 500;
/// ms for which a peer's word on an owner's machines counts.
pub const VOUCH_MS: u64 = 5_000;

// ---- peers -----------------------------------------------------------------

/// ms between two refreshes of a copy of another part (design page).
pub const COPY_REFRESH_MS: u64 = 2_000;
/// ms between two syncs with one owner when something changed: batches the
/// tasks of one job without being felt by a user.
pub const SYNC_GAP_MS: u64 = 40;
/// ms after which an unanswered direct sync is given up.
pub const SYNC_TIMEOUT_MS: u64 = 1_500;
/// ms between two syncs through the mailbox: mostly one value each way, which
/// must fit the write budget beside everything else.
pub const MAIL_GAP_MS: u64 = 600;
/// Direct syncs that must fail in a row before the mailbox is used.
pub const MAIL_AFTER_FAILURES: u32 = 2;
/// ms between two direct tries while the mailbox is in use.
pub const DIRECT_RETRY_MS: u64 = 4_000;
/// Bytes of a mailbox value left for its other fields and its encoding.
pub const MAIL_OVERHEAD_BYTES: usize = 512;
/// Version of the format between controllers.
pub const PEER_VERSION: u8 = 3;
/// Bytes of changes in one direct message between controllers: some hundred
/// machines, so that one message does not hold up reports for long.
pub const SYNC_BYTES: usize = 128 * 1024;
/// Bytes that the naming of an attempt or a machine takes in a message.
pub const ATTEMPT_BYTES: usize = 40;
/// Bytes that the counts of a job take in a message, with a usual reason.
pub const NOTE_BYTES: usize = 80;
/// Bytes of stops that a message may hold beyond its other changes.
pub const STOPS_BYTES: usize = 4 * 1024;
/// Bytes of changes in one message through the store: less than a transaction
/// may hold, once in base64 and with keys. The rest follows in order.
pub const MAIL_BYTES: usize = 24 * 1024;

// ---- links -----------------------------------------------------------------

/// Answers that must fail to come in a row before a link counts as down: one
/// may be lost on the way.
pub const LINK_FAILS: u32 = 2;
/// ms since the last answer from which on a link can count as down: several
/// requests under way fail together when one packet is late.
pub const LINK_DOWN_MS: u64 = 1_000;
/// ms between two messages in which a controller tells another of its links.
pub const HAIL_MS: u64 = 2_000;
/// ms for which what came from a controller shows that it reaches us: two of
/// its messages and a moment.
pub const HEARD_MS: u64 = 5_000;
/// ms since a controller's own last word from the state service up to which it
/// is asked to carry: it reads several times a second, and tells every 2 s.
pub const CARRIER_STORE_MS: u64 = 3_500;
/// The same for the cloud, which each controller asks every few seconds.
pub const CARRIER_CLOUD_MS: u64 = 20_000;
/// ms by which its word must be newer than ours: in an outage for all, the last
/// words differ by less.
pub const CARRIER_NEWER_MS: u64 = 700;
/// ms for which a carrier that failed is not asked again, if there is another.
pub const CARRIER_REST_MS: u64 = 5_000;
/// ms between two tries of the direct way while something is carried.
pub const PROBE_MS: u64 = 2_000;
/// ms for which the direct way must have answered before it is used again;
/// doubled each time it fails again soon, so that a link that flaps every few
/// seconds stays carried.
pub const DIRECT_AGAIN_MS: u64 = 1_000;
/// ms that the doubling stops at.
pub const DIRECT_AGAIN_MOST_MS: u64 = 60_000;
/// ms within which a link that fails again counts as flapping.
pub const FLAPPING_MS: u64 = 120_000;
/// Bytes from which on a request is judged apart: some cuts let only small
/// messages pass.
pub const LARGE_BYTES: usize = 4 * 1024;
/// ms after which a large request tries the direct way again.
pub const LARGE_TRIAL_MS: u64 = 15_000;
/// ms for which a worker that came from its owner in vain is carried before it
/// may be sent there again: a try in vain costs it 5 s of its lease. Doubled
/// each time it was in vain, up to [`CARRIED_MOST_MS`].
pub const CARRIED_MS: u64 = 10_000;
/// ms that this doubling stops at.
pub const CARRIED_MOST_MS: u64 = 60_000;
/// ms between two workers of a zone that are sent to their owner to find out
/// whether they reach it again.
pub const SCOUT_MS: u64 = 4_000;
/// ms for which reports to one owner are gathered into one message.
pub const GATHER_MS: u64 = 20;
/// Reports in one message at the most: some tenths of a MiB. 4,000 waiting reports
/// are then fewer messages than a peer takes connections from others.
pub const GATHER_MOST: usize = 128;
/// Reports that wait to be carried to one owner at the most; beyond it workers
/// are turned away at once, as before. After a pause all machines of a fleet of
/// 4,000 may report within one gathering.
pub const CARRY_QUEUE: usize = 4_096;
/// ms that a report may take to its owner and back: less than the 4 s that its
/// worker waits (protocol page).
pub const CARRY_REPORT_MS: u64 = 2_500;
/// ms for which most of a part's machines are carried before the part is given
/// to a controller that they reach. Giving it up costs its teams some seconds
/// without starts, twice; carrying costs each report a second message. Cuts
/// seen so far (30 to 52 s) end before.
pub const CARRIED_PART_MS: u64 = 90_000;
/// ms of a window over which answer times are told.
pub const TIMES_WINDOW_MS: u64 = 60_000;
/// ms that the longest answer counts as: more than any call waits.
pub const TIMES_MOST_MS: u64 = 10_000;
/// Lines of the history of links and parts that a process keeps.
pub const EVENTS_KEPT: usize = 256;

// ---- workers ---------------------------------------------------------------

/// Zones that no setting names which are told of, each once.
pub const ODD_ZONES: usize = 64;
/// ms after which an unanswered `/commands` is given up.
pub const COMMAND_TIMEOUT_MS: u64 = 2_500;
/// ms between two tries to reach a machine directly after a failure.
pub const COMMAND_RETRY_MS: u64 = 1_000;
/// ms between two sendings of the same stop order: the worker needs time to
/// save before it answers with the end.
pub const KILL_REPEAT_MS: u64 = 1_500;
/// ms between two writings of what machines have which images: a hint, so the
/// write budget comes first.
pub const IMAGES_EVERY_MS: u64 = 8_000;
/// Bytes of a page of that note that are left for its encoding.
pub const IMAGE_NOTE_BYTES: usize = 256;
/// Bytes that an image takes in it beside its name.
pub const IMAGE_NAME_BYTES: usize = 12;
/// Bytes that a machine's mark of an image takes.
pub const IMAGE_MARK_BYTES: usize = 3;
/// How much longer than usual a fetch may well take (protocol page: the rate is
/// given or take a third).
pub const FETCH_SPREAD: f64 = 1.33;
/// Images remembered per machine; a worker keeps its most recent ones.
pub const IMAGES_REMEMBERED: usize = 24;

// ---- store -----------------------------------------------------------------

/// Awaited jobs in one record: with ids of 24 bytes they take half of a value of 2 KiB,
/// which leaves room for the job itself.
pub const AWAITS_PAGE: usize = 40;

/// Jobs that one may await: what a submission's 64 KiB can name.
pub const AWAITS_MOST: usize = 2_000;
/// Awaited jobs that are named to a user who asks why a job waits.
pub const AWAITS_NAMED: usize = 5;
/// Ends of awaited jobs that are read at a time.
pub const ENDS_READ_AT_ONCE: usize = 16;
/// ms after which a transaction for waiting jobs is tried again that was not made: a
/// reading of the store lies between.
pub const CHAIN_RETRY_MS: u64 = 300;
/// ms between two looks at all waiting jobs: little beside the fetch of an image, and
/// enough for thousands of them on a tenth of a core.
pub const CHAIN_LOOK_MS: u64 = 50;

/// ms after which an unanswered store request is given up.
pub const STATE_TIMEOUT_MS: u64 = 1_500;
/// ms without word from the store after which a node leaves users to those who
/// have it: two of its timeouts, and less than a user's patience.
pub const UNREADY_MS: u64 = 2_000;
/// ms between two refreshes of the job table while polls wait for one.
pub const REFRESH_BUSY_MS: u64 = 60;
/// ms between two refreshes when nobody waits: bounds how late a new job or a
/// cancellation is seen by the part that has to act on it.
pub const REFRESH_IDLE_MS: u64 = 200;
/// Share of the store's request budget left to other nodes' bursts, percent.
pub const BUDGET_PERCENT: u64 = 90;
/// Share of a common limit by which a node that waits raises its rate in a
/// second: it has the whole within some seconds if nobody else wants it.
pub const BUDGET_RISE: f64 = 0.2;
/// What a node's rate is cut to, in shares of it, by a refusal.
pub const BUDGET_FALL: f64 = 0.7;
/// What the common limit is taken to be, in shares of it, after a refusal at a node's
/// equal share: some ten of them follow a limit that fell to two thirds.
pub const WHOLE_FALL: f64 = 0.95;
/// Share by which the learned limit rises again in a second without refusals: one that
/// fell to two thirds is tried in full after some minutes.
pub const WHOLE_RISE: f64 = 0.001;
/// Bytes of task records in one transaction: below the 64 KiB that it may
/// hold, with room for conditions.
pub const TXN_BYTES: usize = 40_000;
/// Bytes that a task record takes at most without its tasks.
pub const RECORD_BYTES: usize = 200;
/// Bytes that a live attempt takes in a record.
pub const LIVE_BYTES: usize = 48;
/// ms that a record of ended attempts waits for more of its chunk: a successor
/// would learn of them from their workers, so it costs nothing to wait, and
/// with hundreds of tasks ending each minute it halves what is written.
pub const END_LAG_MS: u64 = 3_000;
/// Bytes that a range of done tasks takes in a record.
pub const RANGE_BYTES: usize = 12;
/// Share of a controller's equal part of the store's changes up to which its placer
/// writes for idle work, other work's changes counted: above its part it would take
/// from others' starts.
pub const IDLE_WRITES_SHARE: f64 = 0.7;
/// s of such changes for which idle work is placed ahead.
pub const IDLE_AHEAD_S: usize = 2;
/// Tasks in one chunk of a job's task record: a full chunk of live attempts
/// stays well below the smallest value size that the settings allow.
pub const CHUNK_TASKS: u32 = 64;
/// ms after which a record is written again that the store refused for its size: it may
/// have fewer live attempts by then.
pub const REFUSED_RECORD_MS: u64 = 5_000;
/// Version of the records from which on task records are written packed.
pub const PACKED_VERSION: u32 = 1;
/// ms for which a reading of the store answers polls of unfinished jobs from
/// memory, from when it began: the regular ones are some 220 ms apart.
pub const MEMORY_MS: u64 = 300;
/// ms from when a node learns of a job's end until it tells a user: by then no
/// other node answers from a reading that began before the end, whatever the
/// drift of the clocks. Users expect the end within 3 s (protocol page).
pub const TOLD_AFTER_MS: u64 = MEMORY_MS + 20;
/// Conditions of a transaction for each of its changes (protocol page).
pub const CONDITIONS_A_CHANGE: usize = 4;
/// Ids that nobody here knows that wait for one another to be asked for together.
/// Beyond it who asks is turned away at once.
pub const LOOKUPS_MOST: usize = 256;
/// ms between two such questions to the store: a tenth of a small node's share.
pub const LOOKUP_GAP_MS: u64 = 100;
/// ms that any request to the store waits for its turn from which on unknown
/// ids are turned away: renewals, starts and submissions go first.
pub const LOOKUP_WAIT_MS: u64 = 150;
/// Settled ends of jobs remembered by a node, so that repeated polls need no
/// read; about 60 bytes each.
pub const ENDS_REMEMBERED: usize = 20_000;

// ---- users -----------------------------------------------------------------

/// Seconds a refused user is asked to wait, when nothing better is known.
pub const RETRY_AFTER_S: u64 = 1;
/// Seconds a refused user is asked to wait at most (protocol page).
pub const RETRY_AFTER_MOST_S: u64 = 30;
/// ms that a submission may have to wait for its turn to be written; beyond
/// that it is refused at once.
pub const SUBMIT_WAIT_MS: u64 = 800;
/// ms that the request which asks for a withdrawal waits for the last attempt's
/// end, as long as a stop usually takes: later ones are answered at once.
pub const WITHDRAW_WAIT_MS: u64 = 500;
/// ms a user request may wait for the store before it is refused.
pub const USER_TIMEOUT_MS: u64 = 1_600;
/// Connections that wait to be accepted at the most (the system may allow fewer): a
/// process that stood still for a moment has those of all workers before it.
pub const LISTEN_BACKLOG: i32 = 4_096;
/// ms a connection may be idle before it is closed.
pub const IDLE_TIMEOUT_MS: u64 = 65_000;
/// ms that a request may take to arrive in full.
pub const READ_TIMEOUT_MS: u64 = 10_000;
/// Sockets kept for what a process opens itself and for its peers; the rest is
/// for workers and users.
pub const SOCKET_RESERVE: usize = 300;
/// Percent of the workers' and users' sockets that users' connections may keep
/// between requests; beyond it theirs close after each answer.
pub const USERS_PERCENT: usize = 40;
/// Percent of the workers' and users' sockets from which on answers close their
/// connections: what is left takes the requests of a second while others close.
pub const CROWDED_PERCENT: usize = 80;

// ---- cloud -----------------------------------------------------------------

/// ms after which an unanswered cloud request is given up.
pub const CLOUD_TIMEOUT_MS: u64 = 5_000;
/// ms that a machine of unknown type is taken to boot.
pub const BOOT_UNKNOWN_MS: u64 = 30_000;
/// Boots remembered of a type, zone and kind: what was usual some minutes ago.
pub const BOOTS_KEPT: usize = 32;
/// Boots that must have been seen before they say more than the catalog.
pub const BOOTS_ENOUGH: usize = 8;
/// Bounds of what counts as a usual boot, in times of the catalog's: a second
/// would make empty machines worth nothing, minutes would keep all of them.
pub const BOOT_USUAL_LEAST: f64 = 0.25;
/// See [`BOOT_USUAL_LEAST`].
pub const BOOT_USUAL_MOST: f64 = 3.0;
/// Bounds of when a machine is overdue, in times of the catalog's boot time: the
/// protocol page has usual ones take up to 1.5 times it.
pub const BOOT_LATE_LEAST: f64 = 1.6;
/// See [`BOOT_LATE_LEAST`].
pub const BOOT_LATE_MOST: f64 = 4.0;
/// One of so many machines of a part may be overdue and not counted on at a
/// time, so that a late wave is replaced by an eighth at most.
pub const OVERDUE_OF: usize = 8;
/// The same in a small part.
pub const OVERDUE_LEAST: usize = 4;
/// Overdue machines of a type, zone and kind from which on, if they are most of
/// what boots there, room is asked for elsewhere first.
pub const FAILING_LEAST: usize = 3;
/// ms between two readings of the rental list by one node, at least.
pub const LIST_EVERY_MS: u64 = 4_000;
/// Share of a node's part of the cloud's limit that readings of the list may
/// use: a fleet of hundreds takes several pages, and rentals go first.
pub const LIST_SHARE: f64 = 0.25;
/// ms between two readings of the catalog: spot prices move slowly.
pub const CATALOG_EVERY_MS: u64 = 60_000;
/// Rentals of one part under way at a time: the answers take some tenths of a
/// second, and a fleet of hundreds rises in requests of at most 50.
pub const RENTALS_AT_ONCE: usize = 4;
/// ms for which a kind and zone that had no capacity is not asked again.
pub const NO_CAPACITY_MS: u64 = 12_000;
/// ms that a cloud in trouble is left alone.
pub const CLOUD_TROUBLE_MS: u64 = 2_000;

// ---- placement -------------------------------------------------------------

/// ms between two passes of the placer.
pub const PLACE_GAP_MS: u64 = 50;
/// ms that idle work waits for room that costs nothing or little. Then, if nothing
/// else lacks room, it may rent what others may until half of it has begun: some
/// minutes more are little to who waits anyway, and it starts in the end.
pub const IDLE_PATIENCE_MS: u64 = 600_000;
/// Jobs of a team that one pass looks at: more than wait in a large fleet's first
/// minute, and some ms of work.
pub const PASS_JOBS: usize = 768;
/// ms after a pass from which on there is another if something waits, though
/// nothing happened.
pub const PASS_AGAIN_MS: u64 = 2_000;
/// ms of the tick while something waits for a short gap to pass: a start goes
/// through several of them, and each would cost a whole tick.
pub const SHORT_TICK_MS: u64 = 15;
/// ms of the core's clock tick.
pub const TICK_MS: u64 = 100;
/// ms without any lack of room after which replicas are moved together.
pub const QUIET_MS: u64 = 20_000;
/// ms between two machines whose replicas are moved: each is down for some
/// tenths of a second, which must not add up in any half minute.
pub const MOVE_GAP_MS: u64 = 8_000;
/// Share of a placer's replicas that may be moved at a time, where that is more
/// than one machine's: each is down for some tenths of a second, so this costs
/// less than a thousandth of any half minute.
pub const MOVE_SHARE: f64 = 0.07;
/// Machines looked at for that at a time: the look tries each replica on all
/// others.
pub const MOVE_TRIES: usize = 48;
/// ms that a replica stays where it is before it is moved again.
pub const STAY_MS: u64 = 60_000;
/// ms after its start within which a task is stopped only if nothing else will
/// do: a start that is undone within 30 s is none to its users.
pub const FRESH_START_MS: u64 = 35_000;
/// ms over which arrivals are counted to tell what will come: long enough for
/// a few of them, short enough to follow a day.
pub const ARRIVALS_MS: u64 = 120_000;
/// ms after taking a part in which what comes is no arrival but a backlog.
pub const SETTLE_MS: u64 = 10_000;
/// How many times the usual share room is kept for on spot machines at most,
/// however little they cost: there are few of them.
pub const SPARE_DISCOUNT_MOST: f64 = 2.0;
/// Tasks of one size that room is kept for at most, in a small fleet, and one
/// more for each so many machines of a larger one.
pub const SPARE_MOST: u32 = 4;
/// ms between two lines of the log that say how full a part is.
pub const SUMMARY_MS: u64 = 20_000;
/// Machines for each further task that room is kept for.
pub const SPARE_FLEET: u32 = 16;
/// ms between two looks at what is expected: it changes as arrivals do, and a
/// look costs as much as a whole pass.
pub const SPARE_EVERY_MS: u64 = 1_000;
/// Empty machines of a part that are kept for the usual time, in a small fleet.
pub const SPARE_MACHINES: usize = 4;
/// In a larger one: one of so many. The others are kept as briefly as in a lull.
pub const SPARE_MACHINES_OF: usize = 25;
/// ms without a new task after which empty machines are kept for less long.
pub const LULL_MS: u64 = 40_000;
/// Share of the usual time that empty machines are then kept.
pub const LULL_KEEP: f64 = 0.3;
/// ms that a job waits after a worker refused a start of it, or its gang was
/// not complete: the next reports show more.
pub const START_REFUSED_PAUSE_MS: u64 = 500;
/// Machines that a job avoids at most, those where it failed last.
pub const AVOID_MOST: usize = 8;
/// Waiting tasks of one job that are counted as demand at most: more than boot
/// at a time. What is beyond is counted once these have their machines.
pub const DEMAND_MOST: u64 = 512;
/// ms without a tick after which this process counts as having stood still.
pub const STOOD_STILL_MS: u64 = 1_000;
/// ms by which a tick must be late for the process to count as behind: polls are
/// then turned away, since reports and submissions wait behind them.
pub const BEHIND_MS: u64 = 400;
/// ms for which it then counts so.
pub const BEHIND_FOR_MS: u64 = 500;
/// ms added to two report intervals before a machine counts as silent.
pub const SILENT_SLACK_MS: u64 = 500;
/// ms after the return of a zone in which none of its empty machines is given
/// back: hundreds of tasks begin anew there, and are written to the store some
/// ten a transaction, some ten transactions a second.
pub const RETURN_KEEP_MS: u64 = 30_000;
/// Silent machines up to which each counts as lost for itself.
pub const MASS_SILENT: usize = 3;
/// ms that an attempt waits for those pushed out for it; longer than any save
/// seen in the field, after which the placer tries elsewhere.
pub const EVICT_WAIT_MS: u64 = 15_000;
/// ms that a refused placement waits before it is tried again: the refusal
/// brought the owner's newest state, and the next pass uses it. As long as the
/// gap between two syncs, so that what others took at the same time shows too;
/// at six times that most starts among many controllers waited for this alone.
pub const REFUSED_PAUSE_MS: u64 = 40;
/// ms that it waits if the owner is told through the store: its state is older
/// then, and each try is written.
pub const REFUSED_MAIL_PAUSE_MS: u64 = 250;
/// Jobs that must have failed on a machine, none of them a suspect, for it to
/// be set aside. Two: a gang that takes it whole is the only one there, and each
/// that fails starts late.
pub const QUARANTINE_ERRORS: usize = 2;
/// Machines that run other jobs on which a job must have failed, with no success
/// since, to be the suspect. Two: one may be faulty.
pub const SUSPECT_MACHINES: usize = 2;
/// Machines on which it must have failed whether or not others run there. So
/// many faulty ones in a row are less likely than a mistake.
pub const SUSPECT_ANYWHERE: usize = 5;
/// ms before a failure within which another job's good start vouches for the
/// machine: longer than most runs, so that machines in use are vouched for.
pub const VOUCHED_MS: u64 = 300_000;
/// ms that a task must have run to count as a success before it ends: replicas
/// never end, and mistakes and faults show within seconds.
pub const WELL_AFTER_MS: u64 = 30_000;
/// Failures remembered of each job and of each machine.
pub const BLAME_PAIRS: usize = 8;
/// Jobs remembered by one side of a part; some 200 bytes each.
pub const BLAME_JOBS: usize = 4_096;
/// ms that a machine is set aside before a trial; doubled with each that fails.
/// As long as a few starts elsewhere take to tell whose fault it was.
pub const TRIAL_MS: u64 = 10_000;
/// Trials that must fail for an empty machine to be given back though nothing
/// says that its jobs run elsewhere.
pub const TRIALS: u32 = 2;
/// ms that a job waits after its second failed attempt, doubled with each more.
pub const ERROR_BACKOFF_MS: u64 = 1_000;
/// ms that the doubling stops at.
pub const ERROR_BACKOFF_MAX_MS: u64 = 30_000;
/// ms that it stops at for a suspect: each try costs a task's room for seconds,
/// and its user mostly withdraws it.
pub const SUSPECT_BACKOFF_MAX_MS: u64 = 120_000;

// ---- hearing and being heard ------------------------------------------------

/// ms that a worker waits for an answer to its report (protocol page).
pub const WORKER_PATIENCE_MS: u64 = 4_000;
/// ms after which it then tries the next controller (protocol page).
pub const NEXT_NODE_MS: u64 = 1_000;
/// Calls under way at a time of one owner to machines that answers don't reach:
/// most wait for their time-out, and the other machines' starts go first.
pub const DEAF_CALLS: usize = 8;

// ---- the watch --------------------------------------------------------------

/// Changes of hands that are kept of each part: a day with dozens of them, and
/// some 300 bytes each in every controller's memory.
pub const HANDOVERS_KEPT: u64 = 32;
/// Entries that can't be read which are named in the log, each once.
pub const ODD_HANDOVERS: usize = 64;
/// ms after a change of hands at which its entry is closed though services still
/// lack replicas: what keeps them from being whole by then is no matter of it.
pub const CLOSE_MOST_MS: u64 = 300_000;
/// ms between two tries to close an entry: each is a change, and nothing waits
/// for it.
pub const CLOSE_RETRY_MS: u64 = 5_000;
/// ms that each step of a start takes at the most on an ordinary day: its turn, its
/// writing, its order.
pub const STEP_MS: u64 = 10_000;
/// Services that one look tries another way for, so that hundreds that are late at
/// once don't hold up reports: ten looks a second come to all of them soon.
pub const LADDER_MOST: usize = 16;
/// ms between two looks for another way for a service that is late: room comes and
/// goes, as copies of the parts are refreshed.
pub const LADDER_AGAIN_MS: u64 = 2_000;
/// Tries that are remembered of a service that lacks replicas.
pub const TRIES_KEPT: usize = 8;
/// s for which a service must have lacked replicas for its status to say so: below
/// that it is on its way.
pub const SHORT_TOLD_S: u64 = 30;
/// Classes whose gaps an entry names, the worst first: a value stays below 1 KiB.
pub const GAPS_TOLD: usize = 8;

// ---- the gang ledger --------------------------------------------------------

/// ms after its record within which every owner must have granted a gang room: more
/// than any wait for who is pushed out ([`EVICT_WAIT_MS`]) and the messages about it.
/// A placer or a successor then gives all of it back and tries elsewhere.
pub const GANG_GRANT_MS: u64 = 20_000;
/// ms that a successor gives every owner at least to be heard of an admitted gang,
/// however old its admission is: a new owner hears its machines within two report
/// intervals, and an election goes before.
pub const GANG_HEAR_MS: u64 = 20_000;
/// ms after the store has shown that a placer lost its part for which an owner keeps
/// the room that it granted it and that was never used. A successor takes a part
/// within a second or two and asks within one more, so what it can finish is still
/// there; nobody else waits longer for room that is kept for nobody.
pub const ORPHAN_ROOM_MS: u64 = 10_000;

// ---- where weights lie ------------------------------------------------------

// ---- answers to users ---------------------------------------------------------

/// ms for which a job's questions may be turned away for a node's own load: two of
/// a user's polls (protocol page). Each node then answers one question about each
/// job in this time at the most beyond what it has time for.
pub const OWED_FIRST_MS: u64 = 8_000;
/// ms after its last question for which a job that was turned away keeps its claim:
/// several polls, which may go to other nodes.
pub const OWED_KEPT_MS: u64 = 75_000;
/// Jobs that a node owes an answer, at the most; some 100 bytes each.
pub const OWED_MOST: usize = 16_384;
/// Share of a node's equal part of the store's requests that is kept for readings
/// and questions of users, however much waits to be written.
pub const QUESTIONS_SHARE: f64 = 0.5;
/// Ends read together with one that is asked for: ids are handed out in order, so
/// whoever missed one end mostly missed its neighbours'. Some 12 KiB.
pub const ENDS_PAGE: u32 = 256;

// ---- the largest jobs -----------------------------------------------------------

/// ms after its submission by which a job of idle work begins, if room can be had at
/// any price: the operators' bound is four minutes, and a machine may be refused or
/// come late.
pub const IDLE_BEGIN_MS: u64 = 200_000;
/// ms of these that are left beside a slow boot and a slow fetch: one refusal of the
/// cloud, and the passes, syncs and writings on the way.
pub const IDLE_BEGIN_SLACK_MS: u64 = 20_000;
/// ms that idle work waits for room that costs nothing in any case, however long
/// boots and fetches take.
pub const IDLE_BEGIN_LEAST_MS: u64 = 60_000;
/// Tasks and gangs that one pass places at most: some tens of ms of work. The next
/// pass goes on.
pub const PASS_STARTS: usize = 2_048;
/// Of these, tasks of one job: an array of 100,000 leaves others their turn.
pub const PASS_JOB_STARTS: usize = 512;
/// Machines' worth of small tasks of one job that are counted as demand where that is
/// more than [`DEMAND_MOST`]: 100,000 tasks of a tenth of a processor would else rent
/// a few machines a boot, and never come to half.
pub const DEMAND_MACHINES: u64 = 32;
/// s that a weight of the trade may have at most: beyond an hour it decides alone.
pub const TRADE_MOST_S: f64 = 3_600.0;
/// Times that a risk may count at most: beyond it, it decides alone.
pub const TRADE_MOST: f64 = 1_000.0;
/// s for which a lost replica is down beside its fetch, as far as its place decides:
/// its stop is proven and its next start written wherever it was.
pub const LOST_S: f64 = 5.0;
/// Share of a whole fetch that is left of one under way for another job: a machine's
/// owner tells that it fetches, not since when.
pub const FETCH_LEFT: f64 = 0.5;
/// How many times as long a fetch beside another counts: less than twice, since part
/// of the other is mostly over.
pub const FETCH_BESIDE: f64 = 1.5;
/// The same beside two others or more.
pub const FETCH_CROWDED: f64 = 3.0;
/// Replicas of a job on one machine that two or more beside a further one count as:
/// the few that are under half of it.
pub const FEW_TOGETHER: u32 = 4;
/// How many times the risk of a whole job counts on a machine that would hold over
/// half of it: its service would be below what is brought back first.
pub const MOST_RISK: f64 = 4.0;
/// s by which a start is later whose owner is told through the store.
pub const MAIL_START_S: f64 = 2.0;
/// Replicas of a job up to which the trade looks at where its others lie: of more,
/// what one machine takes is little, and the look costs a step for each.
pub const TRADE_TASKS: u32 = 512;
/// ms for which a replica is down that moves to a machine with its weights: a stop
/// and a start through their owners.
pub const MOVE_DOWN_MS: u64 = 700;
/// Services looked at for a better place at a time: each look is a walk or two.
pub const BETTER_TRIES: usize = 16;
/// ms between two looks of an owner at which machines hold the last copy of a
/// service's weights in their zone: it walks all images.
pub const LAST_COPIES_EVERY_MS: u64 = 1_000;
/// Images whose size and use are remembered: more than services and arrays of a large
/// site use in hours, some 100 bytes each.
pub const BOOK_IMAGES: usize = 4_096;
