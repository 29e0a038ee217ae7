//! Write queue of the task records and job ends: which are due, in which order, and the next
//! compare-and-swap that writes them.

use lemonweir_model::constants::{CONDITIONS_PER_WRITE, MAX_CAS_BYTES};
use lemonweir_model::{JobId, Priority};
use lemonweir_protocol::kv_store::{CompareAndSwap, Condition, Write};
use lemonweir_protocol::users::JobPhase;
use lemonweir_storage::packed_chunk::chunk_value;
use lemonweir_storage::records::{
    JobEndRecord, TaskChunkRecord, end_key, job_key, shard_key, task_chunk_key,
};

use super::Placer;
use crate::job::{Job, TaskChunk, Urgency};

/// Bytes of a task record without its tasks, at most.
const RECORD_BYTES: usize = 200;
/// Bytes of a live attempt in a task record.
const LIVE_ATTEMPT_BYTES: usize = 48;
/// Bytes of a range of done tasks in a task record.
const DONE_RANGE_BYTES: usize = 12;
/// ms that a write that only records ended attempts waits for more ends in its chunk: with
/// hundreds of tasks ending each minute this halves the writes. Until it is written, a new
/// leader counts these attempts as live, and launches nothing of a team that exceeds its
/// quota limit with them.
pub const ATTEMPT_END_WRITE_DELAY_MS: u64 = 3_000;
/// s of the low-priority write budget: how much low-priority work is placed ahead of its
/// writes, and how long its writes pause at most.
const LOW_PRIORITY_AHEAD_S: usize = 2;

/// Order of writes, the most urgent first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum WritePriority {
    /// Admission steps of gangs whose members already hold resources.
    GangAdmission,
    /// Ends of cancelled jobs: their users wait for the answer.
    CancelledJob,
    /// Starts of tasks.
    Start,
    /// Ends of jobs that are done.
    DoneJob,
    /// Changes that only record ended attempts.
    AttemptEnd,
    /// Starts of low-priority work.
    LowPriorityStart,
    /// Other changes of low-priority work.
    LowPriorityOther,
}

/// A job with changes due to be written; sorts in the order of writing.
#[derive(PartialEq, Eq, PartialOrd, Ord)]
struct DueJob<'a> {
    write_priority: WritePriority,
    priority: Priority,
    urgency: Urgency,
    /// Since when its changes wait, ms.
    since: u64,
    id: &'a JobId,
}

/// One chunk as a compare-and-swap writes it.
pub(super) struct ChunkWrite {
    pub(super) job: JobId,
    pub(super) index: u32,
    /// Newest change of the chunk that it holds.
    pub(super) change: u64,
    /// True if it removes the chunk.
    pub(super) is_removal: bool,
}

/// The end of a job as a compare-and-swap writes it.
pub(super) struct JobEndWrite {
    pub(super) job: JobId,
    pub(super) phase: JobPhase,
}

/// The version of a job's key that a compare-and-swap requires.
pub(super) struct JobVersion {
    pub(super) job: JobId,
    pub(super) version: u64,
}

/// What the compare-and-swap in flight writes, and the job keys that it depends on.
#[derive(Default)]
pub(super) struct InFlightCas {
    pub(super) chunks: Vec<ChunkWrite>,
    pub(super) job_ends: Vec<JobEndWrite>,
    pub(super) job_versions: Vec<JobVersion>,
}

impl InFlightCas {
    /// Number of records that it writes.
    pub(super) fn record_count(&self) -> usize {
        self.chunks.len() + self.job_ends.len()
    }

    /// Jobs whose chunks or ends it writes; one with several records is named several times.
    pub(super) fn jobs(&self) -> impl Iterator<Item = &JobId> {
        let chunks = self.chunks.iter().map(|write| &write.job);
        chunks.chain(self.job_ends.iter().map(|end| &end.job))
    }

    /// True if it writes this chunk.
    pub(super) fn writes_chunk(&self, job: &JobId, index: u32) -> bool {
        self.chunks
            .iter()
            .any(|chunk| chunk.job == *job && chunk.index == index)
    }
}

/// Result of adding a job's changes to a compare-and-swap.
#[derive(Clone, Copy, PartialEq, Eq)]
enum AddResult {
    /// More changes may fit.
    Continue,
    /// No more changes of this job fit now.
    JobDeferred,
    /// The compare-and-swap is full.
    Full,
}

/// A compare-and-swap under construction.
struct CasBuilder<'a> {
    placer: &'a Placer,
    cas: CompareAndSwap,
    in_flight: InFlightCas,
    bytes: usize,
    low_priority_chunks: usize,
}

impl Placer {
    /// The next compare-and-swap, if none is in flight and something is due. Admission steps
    /// of gangs go first, then ends of cancelled jobs by age, then starts by priority, then
    /// ends of jobs that are done. Ended attempts wait for [`ATTEMPT_END_WRITE_DELAY_MS`], so
    /// that one write of a chunk records many.
    pub fn next_cas(&mut self, now: u64) -> Option<CompareAndSwap> {
        if self.in_flight.is_some() || self.dirty_jobs.is_empty() {
            return None;
        }
        let due = self.due_jobs(now);
        if due.is_empty() {
            return None;
        }
        let mut builder = CasBuilder::new(self);
        for job in &due {
            if builder.add_job(job) == AddResult::Full {
                break;
            }
        }
        let CasBuilder { cas, in_flight, .. } = builder;
        if cas.writes.is_empty() && cas.conditions.len() == 1 {
            // Nothing to write: the chunks to be removed were never created.
            self.apply_written(&in_flight, 0, now);
            return None;
        }
        self.charge_low_priority_budget(cas.writes.len(), now);
        self.in_flight = Some(in_flight);
        Some(cas)
    }

    /// Jobs with changes due, in the order of writing.
    fn due_jobs(&self, now: u64) -> Vec<DueJob<'_>> {
        let mut due: Vec<DueJob<'_>> = self
            .dirty_jobs
            .iter()
            .filter_map(|(id, &since)| {
                let job = self
                    .jobs
                    .get(id)
                    .filter(|_| !self.size_rejection.is_backing_off(id, now))?;
                let write_priority = self.write_priority(job, since, now)?;
                // Ends of cancelled jobs go by age, whatever their priority.
                let (priority, urgency) = if write_priority == WritePriority::CancelledJob {
                    (Priority::Normal, Urgency::Normal)
                } else {
                    (job.priority(), job.urgency())
                };
                Some(DueJob {
                    write_priority,
                    priority,
                    urgency,
                    since,
                    id,
                })
            })
            .collect();
        due.sort_unstable();
        due
    }

    /// Write priority of a job whose changes wait since `since`; `None`: they are not due yet.
    fn write_priority(&self, job: &Job, since: u64, now: u64) -> Option<WritePriority> {
        if Self::has_urgent_admission_step(job) {
            return Some(WritePriority::GangAdmission);
        }
        let end = job.writable_end();
        // Guards against users who give up waiting for a cancellation while starts take all
        // writes, as they do for half a minute after an outage of the store. Starts are not
        // delayed for long, since a job ends only once. The oldest goes first, whatever its
        // priority.
        if end == Some(JobPhase::Withdrawn) {
            return Some(WritePriority::CancelledJob);
        }
        let has_starts = !job.is_stopping() && job.has_unwritten_starts();
        // Guards against hundreds of low-priority tasks that start, are preempted and start
        // again, and take the store's writes from all other work.
        if job.priority() == Priority::Low && end.is_none() {
            return (now >= self.low_priority_writes_resume_at).then_some(if has_starts {
                WritePriority::LowPriorityStart
            } else {
                WritePriority::LowPriorityOther
            });
        }
        if has_starts {
            Some(WritePriority::Start)
        } else if end.is_some() {
            Some(WritePriority::DoneJob)
        } else {
            (now >= since + ATTEMPT_END_WRITE_DELAY_MS).then_some(WritePriority::AttemptEnd)
        }
    }

    /// Charges all writes to the budget of low-priority work: it gets what other work leaves
    /// of this placer's share, and nothing of other placers' shares. The debt is limited to
    /// [`LOW_PRIORITY_AHEAD_S`], so that a burst of writes does not block low-priority work for
    /// long.
    fn charge_low_priority_budget(&mut self, writes: usize, now: u64) {
        let resume_at = self.low_priority_writes_resume_at.max(now)
            + (1_000 * writes / self.low_priority_writes_per_s) as u64;
        self.low_priority_writes_resume_at =
            resume_at.min(now + 1_000 * LOW_PRIORITY_AHEAD_S as u64);
    }

    /// How many more chunks of low-priority work may get a first unwritten start:
    /// [`LOW_PRIORITY_AHEAD_S`] of its write budget less those that wait already.
    pub(super) fn low_priority_chunks_left(&self) -> usize {
        let max_waiting = LOW_PRIORITY_AHEAD_S * self.low_priority_writes_per_s;
        let waiting = self
            .dirty_jobs
            .keys()
            .filter_map(|id| self.jobs.get(id))
            .filter(|job| job.priority() == Priority::Low)
            .flat_map(|job| job.chunks.values())
            .filter(|chunk| chunk.has_unwritten_start())
            .take(max_waiting)
            .count();
        max_waiting - waiting
    }

    /// True if starts wait to be written, other than those of low-priority work, which may
    /// wait for hours.
    pub(crate) fn has_unwritten_starts(&self) -> bool {
        self.dirty_jobs
            .keys()
            .filter_map(|id| self.jobs.get(id))
            .any(|job| {
                !job.is_stopping() && job.priority() != Priority::Low && job.has_unwritten_starts()
            })
    }
}

impl<'a> CasBuilder<'a> {
    /// An empty compare-and-swap that only commits while this placer leads its shard.
    fn new(placer: &'a Placer) -> Self {
        Self {
            placer,
            cas: CompareAndSwap {
                conditions: vec![Condition {
                    key: shard_key(placer.shard),
                    version: placer.fencing_token,
                }],
                writes: Vec::new(),
            },
            in_flight: InFlightCas::default(),
            bytes: 0,
            low_priority_chunks: 0,
        }
    }

    /// Adds the changes of a job.
    fn add_job(&mut self, due: &DueJob<'_>) -> AddResult {
        let Some(job) = self.placer.jobs.get(due.id) else {
            return AddResult::JobDeferred;
        };
        if let Some(phase) = job.writable_end() {
            return self.add_end(due.id, job, phase);
        }
        // Guards against a gang that is recorded or admitted only in part although one
        // compare-and-swap can hold all of it.
        if !self.cas.writes.is_empty() && self.would_split_gang_step(job) {
            return AddResult::Full;
        }
        // Guards against starts that wait behind ended attempts in earlier chunks, which are
        // written again and again.
        let dirty = |with_start: bool| {
            job.chunks.iter().filter(move |(_, chunk)| {
                chunk.is_dirty() && chunk.has_unwritten_start() == with_start
            })
        };
        for (&index, chunk) in dirty(true).chain(dirty(false)) {
            match self.add_chunk(due, job, index, chunk) {
                AddResult::Continue => {}
                stop @ (AddResult::JobDeferred | AddResult::Full) => return stop,
            }
        }
        AddResult::Continue
    }

    /// Adds the end of a job. Its chunks need no write: they are removed once the job has
    /// ended.
    fn add_end(&mut self, id: &JobId, job: &Job, phase: JobPhase) -> AddResult {
        if self.cas.writes.len() + 2 > self.placer.max_cas_operations
            || self.in_flight.record_count() >= self.placer.size_rejection.max_changes()
        {
            return AddResult::Full;
        }
        self.require_job_version(id, job);
        self.cas.writes.push(Write::Delete { key: job_key(id) });
        self.cas
            .writes
            .push(Write::put(end_key(id), &JobEndRecord { phase }));
        self.in_flight.job_ends.push(JobEndWrite {
            job: id.clone(),
            phase,
        });
        AddResult::Continue
    }

    /// Adds one chunk of a job.
    fn add_chunk(
        &mut self,
        due: &DueJob<'_>,
        job: &Job,
        index: u32,
        chunk: &TaskChunk,
    ) -> AddResult {
        if self.is_full_for_chunk() {
            return AddResult::Full;
        }
        let creates = chunk.version == 0 && !job.ended;
        if creates && job.record_is_stale() {
            return AddResult::Continue;
        }
        if due.write_priority >= WritePriority::LowPriorityStart {
            if self.low_priority_chunks >= self.max_low_priority_chunks(due.write_priority) {
                return AddResult::JobDeferred;
            }
            self.low_priority_chunks += 1;
        }
        let id = due.id;
        let record = job.chunk_record(index);
        let is_removal = job.ended && record.live_attempts.is_empty();
        let key = task_chunk_key(self.placer.shard, id, index);
        let write = ChunkWrite {
            job: id.clone(),
            index,
            change: chunk.change,
            is_removal,
        };
        if is_removal && chunk.version == 0 {
            // Guards against a chunk that is never removed because the answer to its
            // creation was lost. Now that the job has ended the chunk can't be created any
            // more, so that a condition on its absence is conclusive.
            if chunk.write_indeterminate {
                self.cas.conditions.push(Condition { key, version: 0 });
            }
            self.in_flight.chunks.push(write);
            return AddResult::Continue;
        }
        self.cas.conditions.push(Condition {
            key: key.clone(),
            version: chunk.version,
        });
        // Guards against a compare-and-swap that the store applies late, after the job has
        // ended and the chunk is removed: the chunk's absence would hold again, and an
        // attempt unknown to everyone would be recorded. A job's key never has the same
        // version twice, so a condition on it fails then.
        if creates && !self.requires_version_of(id) {
            self.require_job_version(id, job);
            self.bytes += RECORD_BYTES;
        }
        if is_removal {
            self.cas.writes.push(Write::Delete { key });
        } else {
            self.bytes += record_bytes(&record);
            self.cas.writes.push(Write::Put {
                key,
                value: chunk_value(&record, self.placer.record_format_version),
                lease: None,
            });
        }
        self.in_flight.chunks.push(write);
        AddResult::Continue
    }

    fn is_full_for_chunk(&self) -> bool {
        let max_operations = self.placer.max_cas_operations;
        self.cas.writes.len() + 1 > max_operations
            || self.cas.conditions.len() + 2 > CONDITIONS_PER_WRITE * max_operations
            || self.bytes > MAX_CAS_BYTES
            || self.in_flight.record_count() >= self.placer.size_rejection.max_changes()
    }

    /// Low-priority chunks that a compare-and-swap may hold when a chunk of this write
    /// priority is added. Starts get half, so that neither they nor the updates that
    /// thousands of jobs leave behind keep the other from being written.
    fn max_low_priority_chunks(&self, write_priority: WritePriority) -> usize {
        let per_s = self.placer.low_priority_writes_per_s;
        if write_priority == WritePriority::LowPriorityStart {
            per_s.div_ceil(2)
        } else {
            per_s
        }
    }

    fn requires_version_of(&self, id: &JobId) -> bool {
        self.in_flight
            .job_versions
            .last()
            .is_some_and(|last| last.job == *id)
    }

    fn require_job_version(&mut self, id: &JobId, job: &Job) {
        self.cas.conditions.push(Condition {
            key: job_key(id),
            version: job.key_version,
        });
        self.in_flight.job_versions.push(JobVersion {
            job: id.clone(),
            version: job.key_version,
        });
    }

    /// True if a gang's admission step does not fit what is left of this compare-and-swap,
    /// but fits an empty one.
    fn would_split_gang_step(&self, job: &Job) -> bool {
        let chunks = job
            .chunks
            .values()
            .filter(|chunk| chunk.written < chunk.newest_step)
            .count();
        let bytes = chunks * RECORD_BYTES + job.live.len() * LIVE_ATTEMPT_BYTES;
        let fits = |writes: usize, bytes: usize| {
            writes <= self.placer.max_cas_operations && bytes <= MAX_CAS_BYTES
        };
        fits(chunks, bytes) && !fits(self.cas.writes.len() + chunks, self.bytes + bytes)
    }
}

fn record_bytes(record: &TaskChunkRecord) -> usize {
    RECORD_BYTES
        + record.live_attempts.len() * LIVE_ATTEMPT_BYTES
        + record.done_ranges.len() * DONE_RANGE_BYTES
}
