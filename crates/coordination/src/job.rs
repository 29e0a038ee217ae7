//! A job as its placer keeps it: which tasks are done, which have a live
//! attempt, which wait, and what of that is written.

use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::sync::Arc;

use lemonweir_model::constants::*;
use lemonweir_model::{AttemptId, JobKind, JobSpec, MachineId, Priority, Resources};
use lemonweir_protocol::peer::{AttemptState, PreemptionScope};
use lemonweir_protocol::users::JobPhase;
use lemonweir_storage::records::{
    GangAdmissionRecord, GangAdmissionStep, JobRecord, LiveAttemptRecord, TaskChunkRecord,
};

use crate::gang_admission::{self, GangAdmission, GangMembers};

/// What comes first among jobs of one priority.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum Urgency {
    /// A service that ran and has less than half of its replicas left. Guards
    /// against a mass loss after which some services are whole while others
    /// serve nobody. New services come by age: taken in halves, they came to
    /// lie on more machines, and gangs pushed out twice as much for whole ones.
    BelowHalf,
    /// Idle work of which nothing has begun: its first unit comes before all later
    /// ones, the largest job first. Guards against a large array that waits behind
    /// thousands of small jobs for its turn to be written.
    Unbegun,
    /// Idle work of which less than half has begun: where room for it is scarce, half
    /// of each is more to its users than all of some.
    ToHalf,
    /// Any other job.
    Usual,
}

/// An attempt not proven to be over.
#[derive(Clone, Debug)]
pub(super) struct LiveAttempt {
    pub(super) attempt: u32,
    pub(super) machine: MachineId,
    pub(super) shard: u16,
    pub(super) zone: String,
    /// Change of its chunk that first holds it.
    pub(super) change: u64,
    pub(super) standing: Option<AttemptState>,
    pub(super) kill: Option<u32>,
    pub(super) since: u64,
    pub(super) evict: PreemptionScope,
    /// Its team runs it beyond its guarantee.
    pub(super) over: bool,
}

/// An attempt that is over, kept until that is written.
#[derive(Clone, Debug)]
pub(super) struct EndingAttempt {
    pub(super) id: AttemptId,
    pub(super) machine: MachineId,
    pub(super) shard: u16,
    pub(super) change: u64,
}

/// One chunk's place in the store.
#[derive(Clone, Debug, Default)]
pub(super) struct TaskChunk {
    /// Version in the store; 0: no key.
    pub(super) version: u64,
    /// Changes made, and changes written.
    pub(super) change: u64,
    pub(super) saved: u64,
    /// Newest change that records a start: nothing starts before it is written.
    pub(super) start: u64,
    /// Newest change that records a step of its gang.
    pub(super) step: u64,
    /// A writing that would create it got no answer: it may be there, or come.
    pub(super) unsure: bool,
    /// What it carried of the ledger when it was loaded.
    pub(super) loaded: Option<GangAdmissionRecord>,
}

impl TaskChunk {
    pub(super) fn unsaved(&self) -> bool {
        self.saved < self.change
    }

    /// It records a start that is not written yet.
    pub(super) fn start_unwritten(&self) -> bool {
        self.saved < self.start
    }
}

/// Where a job is in the placer's queues: team, priority, urgency, turn within it,
/// and time.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) struct TaskPlacement {
    pub(super) team: String,
    pub(super) rank: Priority,
    pub(super) urgency: Urgency,
    pub(super) turn: u64,
    pub(super) at: u64,
}

pub(super) struct Job {
    pub(super) record: Option<Arc<JobRecord>>,
    pub(super) version: u64,
    /// The job is done or withdrawn.
    pub(super) over: bool,
    /// The followed keys have not said yet whether it is.
    pub(super) unheard: bool,
    pub(super) team: String,
    pub(super) need: Resources,
    pub(super) tasks: u32,
    pub(super) next: u32,
    done: Vec<bool>,
    pub(super) done_count: u32,
    pub(super) live: BTreeMap<u32, LiveAttempt>,
    pub(super) ending: Vec<EndingAttempt>,
    pub(super) chunks: BTreeMap<u32, TaskChunk>,
    /// No task from here on was ever placed by this placer.
    cursor: u32,
    /// Tasks below it that wait again.
    again: BTreeSet<u32>,
    /// Tries that failed since the last success; what was placed together is one.
    pub(super) failures: u32,
    /// When the last one did, ms.
    pub(super) failed_at: u64,
    /// It is the suspect: it failed on so many machines that run other jobs.
    pub(super) suspect: Option<u32>,
    /// When this placer first heard of it, ms.
    pub(super) known_at: u64,
    /// Some task of it has run.
    pub(super) ran: bool,
    /// A replica of it was stopped to go to a better place: the next one goes where
    /// the trade says, though it waits for its weights there.
    pub(super) trading: bool,
    pub(super) not_before: u64,
    pub(super) avoid: Vec<MachineId>,
    /// Machines that did not answer for the last attempt of a gang: the next one
    /// does without them if it can.
    pub(super) late: Vec<MachineId>,
    /// Version of the job's key with which a writing of it failed: the key has
    /// changed since, and the copy will show it.
    pub(super) refused: Option<u64>,
    /// When it may be written again after the store refused its record, ms.
    pub(super) write_after: u64,
    pub(super) reason: &'static str,
    /// Whether all its attempts are within their team's guarantee or beyond it,
    /// if they are alike.
    pub(super) over_alike: Option<bool>,
    /// Where it is in the placer's queues.
    pub(super) placed: Option<TaskPlacement>,
    /// Attempts that the owners are told of, by part.
    pub(super) told: Vec<(u16, AttemptId)>,
    /// Of a gang with live members: its entry in the ledger.
    pub(super) admission: Option<GangAdmission>,
}

impl Job {
    pub(super) fn empty() -> Self {
        Self {
            record: None,
            version: 0,
            over: true,
            unheard: true,
            team: String::new(),
            need: Resources::default(),
            tasks: 0,
            next: 1,
            done: Vec::new(),
            done_count: 0,
            live: BTreeMap::new(),
            ending: Vec::new(),
            chunks: BTreeMap::new(),
            cursor: 0,
            again: BTreeSet::new(),
            failures: 0,
            failed_at: 0,
            suspect: None,
            known_at: 0,
            ran: false,
            trading: false,
            not_before: 0,
            avoid: Vec::new(),
            late: Vec::new(),
            refused: None,
            write_after: 0,
            reason: "",
            over_alike: None,
            placed: None,
            told: Vec::new(),
            admission: None,
        }
    }

    /// A job that a placer first hears of now.
    pub(super) fn known(now: u64) -> Self {
        Self {
            known_at: now,
            ..Self::empty()
        }
    }

    pub(super) fn spec(&self) -> Option<&JobSpec> {
        self.record.as_ref().map(|r| &r.spec)
    }

    /// Nothing of it shall run any more: it is over, or will be once no attempt
    /// is left.
    pub(super) fn stopping(&self) -> bool {
        self.over || self.record.as_ref().is_some_and(|r| r.cancel_requested)
    }

    /// The end that may be written now. Guards against telling a user that a
    /// job is withdrawn while a machine out of sight still runs it: every
    /// attempt must be proven over first.
    pub(super) fn finished(&self) -> Option<JobPhase> {
        if self.over || self.record.is_none() || self.outdated() {
            None
        } else if self.complete() {
            Some(JobPhase::Done)
        } else {
            (self.stopping() && self.live.is_empty()).then_some(JobPhase::Withdrawn)
        }
    }

    /// True if the job's key has changed since the copy that this is made of.
    pub(super) fn outdated(&self) -> bool {
        self.refused == Some(self.version)
    }

    pub(super) fn is(&self, shape: JobKind) -> bool {
        self.spec().is_some_and(|s| s.kind == shape)
    }

    pub(super) fn lasting(&self) -> bool {
        self.is(JobKind::Service)
    }

    /// Priority; a job that is over only takes room for its stops.
    pub(super) fn rank(&self) -> Priority {
        self.spec().map_or(Priority::Low, |s| s.priority)
    }

    /// Whether it goes before others of its priority.
    pub(super) fn urgency(&self) -> Urgency {
        let stays = || self.live.values().filter(|l| l.kill.is_none()).count() as u32;
        if self.ran && self.lasting() && !self.stopping() && 2 * stays() < self.tasks {
            Urgency::BelowHalf
        } else if self.rank() != Priority::Low || self.stopping() {
            Urgency::Usual
        } else if !self.begun() {
            Urgency::Unbegun
        } else if self.below_half() {
            Urgency::ToHalf
        } else {
            Urgency::Usual
        }
    }

    /// True if some of it is placed, has run, or is done.
    pub(super) fn begun(&self) -> bool {
        self.ran || self.done_count > 0 || !self.live.is_empty()
    }

    /// Its turn among jobs of its priority and urgency: age; of those that have not
    /// begun the number of tasks first.
    pub(super) fn turn(&self) -> u64 {
        const AGE_BITS: u32 = 44;
        match self.urgency() {
            Urgency::Unbegun => {
                MAX_TASKS.saturating_sub(u64::from(self.tasks)) << AGE_BITS
                    | self.at() & ((1 << AGE_BITS) - 1)
            }
            _ => self.at(),
        }
    }

    /// ms since it was submitted, by the time of day, or since this placer knows of
    /// it: a change of hands does not begin its wait anew.
    pub(super) fn waited(&self, now: u64, time_of_day: u64) -> u64 {
        let since = self
            .record
            .as_ref()
            .map_or(0, |r| time_of_day.saturating_sub(r.submitted_at_ms));
        since.max(now.saturating_sub(self.known_at))
    }

    /// Time of day of its submission, ms.
    pub(super) fn at(&self) -> u64 {
        self.record.as_ref().map_or(0, |r| r.submitted_at_ms)
    }

    pub(super) fn is_done(&self, task: u32) -> bool {
        self.done.get(task as usize).copied().unwrap_or(false)
    }

    /// Marks a task as done; true if it was not.
    pub(super) fn set_done(&mut self, task: u32) -> bool {
        if self.done.len() <= task as usize {
            self.done.resize(task as usize + 1, false);
        }
        let news = !std::mem::replace(&mut self.done[task as usize], true);
        self.done_count += u32::from(news);
        news
    }

    pub(super) fn mark_done(&mut self, task: u32) {
        if self.set_done(task) {
            self.touch(task);
        }
    }

    /// Tasks that run, and why the others wait, if some do.
    pub(super) fn progress(&self) -> (u32, &'static str) {
        let running = self
            .live
            .values()
            .filter(|l| l.standing == Some(AttemptState::Running))
            .count() as u32;
        let unwritten = || self.live.iter().any(|(&task, l)| !self.recorded(task, l));
        let reason = if self.stopping() {
            "withdrawn; its last attempts are being stopped"
        } else if self.waiting() > 0 {
            self.reason
        } else if unwritten() {
            "its start waits to be written to the store"
        } else {
            ""
        };
        (running, reason)
    }

    /// Attempts in each zone, leaving out one task's.
    pub(super) fn per_zone(&self, but: Option<u32>) -> HashMap<String, u32> {
        let mut counts: HashMap<String, u32> = HashMap::new();
        for (_, l) in self.live.iter().filter(|(t, _)| Some(**t) != but) {
            match counts.get_mut(&l.zone) {
                Some(n) => *n += 1,
                None => {
                    counts.insert(l.zone.clone(), 1);
                }
            }
        }
        counts
    }

    /// Attempts that are where this one is, itself included.
    pub(super) fn beside<K: PartialEq>(
        &self,
        live: &LiveAttempt,
        place: impl Fn(&LiveAttempt) -> &K,
    ) -> u32 {
        self.live
            .values()
            .filter(|l| place(l) == place(live))
            .count() as u32
    }

    /// Notes a change of a task's chunk.
    pub(super) fn touch(&mut self, task: u32) -> u64 {
        let chunk = self.chunks.entry(task / CHUNK_TASKS).or_default();
        chunk.change += 1;
        chunk.change
    }

    /// Some start of it is not written yet.
    pub(super) fn starts_unwritten(&self) -> bool {
        self.chunks.values().any(TaskChunk::start_unwritten)
    }

    pub(super) fn recorded(&self, task: u32, live: &LiveAttempt) -> bool {
        self.chunks
            .get(&(task / CHUNK_TASKS))
            .is_some_and(|c| c.saved >= live.change)
    }

    pub(super) fn chunk_record(&self, chunk: u32) -> TaskChunkRecord {
        let (first, end) = (chunk * CHUNK_TASKS, (chunk + 1) * CHUNK_TASKS);
        let mut done: Vec<(u32, u32)> = Vec::new();
        for task in (first..end).filter(|&t| self.is_done(t)) {
            match done.last_mut() {
                Some(range) if range.1 + 1 == task => range.1 = task,
                _ => done.push((task, task)),
            }
        }
        let live: Vec<LiveAttemptRecord> = self
            .live
            .range(first..end)
            .map(|(&t, l)| LiveAttemptRecord {
                task: t,
                attempt: l.attempt,
                machine: l.machine.clone(),
                shard: l.shard,
                zone: l.zone.clone(),
            })
            .collect();
        let gang = self
            .admission
            .as_ref()
            .filter(|a| live.iter().any(|l| l.attempt == a.attempt))
            .map(GangAdmission::record);
        TaskChunkRecord {
            team: self.team.clone(),
            task_resources: self.need,
            next_attempt: self.next,
            done_ranges: done,
            live_attempts: live,
            gang,
        }
    }

    /// How many tasks neither run nor are done. The tasks of a gang that is
    /// done may be both for a moment.
    pub(super) fn waiting(&self) -> u32 {
        self.tasks
            .saturating_sub(self.done_count)
            .saturating_sub(self.live.len() as u32)
    }

    /// A try failed now, of what was placed at `placed`: how long to wait before
    /// the next one, ms.
    pub(super) fn fail(&mut self, placed: u64, now: u64) -> u64 {
        if self.failures == 0 || placed >= self.failed_at {
            self.failures += 1;
            self.failed_at = now;
        }
        let most = match (self.suspect, self.failures) {
            (Some(_), _) => SUSPECT_BACKOFF_MAX_MS,
            // One failure is mostly the machine's fault.
            (None, 1) => return 0,
            (None, _) => ERROR_BACKOFF_MAX_MS,
        };
        (ERROR_BACKOFF_MS << (self.failures - 1).min(10)).min(most)
    }

    /// Leaves a machine out from now on; the oldest of too many may come again.
    pub(super) fn shun(&mut self, machine: &MachineId) {
        if !self.avoid.contains(machine) {
            self.avoid.push(machine.clone());
        }
        if self.avoid.len() > AVOID_MOST {
            self.avoid.remove(0);
        }
    }

    /// Notes that a task that was placed may wait again.
    pub(super) fn wait_again(&mut self, task: u32) {
        if task < self.cursor {
            self.again.insert(task);
        }
    }

    fn waits(&self, task: u32) -> bool {
        !self.is_done(task) && !self.live.contains_key(&task)
    }

    /// The first task that neither runs nor is done. Each task is passed once
    /// until it waits again.
    pub(super) fn next_waiting(&mut self) -> Option<u32> {
        while let Some(&task) = self.again.first() {
            if self.waits(task) {
                return Some(task);
            }
            self.again.pop_first();
        }
        while self.cursor < self.tasks && !self.waits(self.cursor) {
            self.cursor += 1;
        }
        (self.cursor < self.tasks).then_some(self.cursor)
    }

    fn complete(&self) -> bool {
        self.record.is_some() && self.done_count >= self.tasks && !self.lasting()
    }

    /// True if nothing of it is left anywhere.
    pub(super) fn vanished(&self) -> bool {
        self.over
            && self.live.is_empty()
            && self.ending.is_empty()
            && self.chunks.values().all(|c| c.version == 0 && !c.unsure)
    }

    /// True if it has waited for so long, with less than half of it begun, that it
    /// may cost more than idle work usually does.
    pub(super) fn starved(&self, now: u64) -> bool {
        self.below_half() && now >= self.known_at + IDLE_PATIENCE_MS
    }

    /// True if less than half of its tasks run or are done.
    fn below_half(&self) -> bool {
        2 * (self.done_count as usize + self.live.len()) < self.tasks as usize
    }

    /// Tasks of a starved job that lack to half of it.
    pub(super) fn to_half(&self) -> u64 {
        u64::from(self.tasks.div_ceil(2))
            .saturating_sub(u64::from(self.done_count) + self.live.len() as u64)
    }

    /// True if some task of it can be placed now.
    pub(super) fn placeable(&self) -> bool {
        // Guards against a job with a mistake that fails with all its tasks each
        // time: a suspect has one try at a time.
        let one_try = self.is(JobKind::Gang) || self.suspect.is_some();
        !self.stopping() && self.waiting() > 0 && (self.live.is_empty() || !one_try)
    }

    /// Chunks of a job that is over are removed once nothing is live there.
    pub(super) fn clear_chunks(&mut self) {
        let live = &self.live;
        for (&index, c) in self
            .chunks
            .iter_mut()
            .filter(|(_, c)| c.version > 0 && !c.unsaved())
        {
            let (first, end) = (index * CHUNK_TASKS, (index + 1) * CHUNK_TASKS);
            if live.range(first..end).next().is_none() {
                c.change += 1;
            }
        }
    }
}

/// A gang's entry in the admission ledger.
impl Job {
    /// True if its tasks start together or not at all.
    pub(super) fn gang(&self) -> bool {
        self.is(JobKind::Gang) && self.tasks > 1
    }

    /// Takes up what an earlier holder of the part left of a gang, at `now`, at
    /// this time of day.
    pub(super) fn inherit(&mut self, gang_wait_ms: u64, now: u64, wall: u64) {
        if !self.gang() || self.admission.is_some() || self.live.is_empty() {
            return;
        }
        let carried = |(task, l): (&u32, &LiveAttempt)| {
            (
                l.attempt,
                self.chunks
                    .get(&(task / CHUNK_TASKS))
                    .and_then(|c| c.loaded.as_ref()),
            )
        };
        let Some((step, at, attempt)) = gang_admission::inherited(self.live.iter().map(carried))
        else {
            return;
        };
        let since = gang_admission::counts_from(step, wall.saturating_sub(at), gang_wait_ms, now);
        self.admission = Some(GangAdmission {
            step,
            at,
            attempt,
            since: Some(since),
        });
        if step == GangAdmissionStep::Released {
            self.stop_all();
        }
    }

    /// All of it is to stop, with time to save.
    pub(super) fn stop_all(&mut self) {
        let grace = self.spec().map_or(0, JobSpec::stop_grace_s);
        for l in self.live.values_mut() {
            l.kill.get_or_insert(grace);
        }
    }

    /// Its members together.
    pub(super) fn members(&self) -> GangMembers {
        let mut members = GangMembers {
            needed: self.tasks.saturating_sub(self.done_count),
            ..GangMembers::default()
        };
        for l in self.live.values() {
            members.add(l.standing, l.kill.is_some());
        }
        members
    }

    /// Goes on to a step, in all chunks with members.
    pub(super) fn go_on(&mut self, step: GangAdmissionStep, wall: u64) {
        let Some(admission) = &mut self.admission else {
            return;
        };
        admission.go_on(step, wall);
        let chunks: BTreeSet<u32> = self.live.keys().map(|t| t / CHUNK_TASKS).collect();
        for index in chunks {
            let change = self.touch(index * CHUNK_TASKS);
            if let Some(chunk) = self.chunks.get_mut(&index) {
                chunk.step = change;
            }
        }
    }

    /// True if some chunk with members does not carry the newest step yet.
    pub(super) fn step_unwritten(&self) -> bool {
        self.admission.is_some() && self.chunks.values().any(|c| c.saved < c.step)
    }

    /// True if it is in the store that all of it may be launched. Guards against a
    /// launch that a successor of this placer knows nothing of, and against one of
    /// a gang that is not admitted in all of its chunks.
    pub(super) fn admitted(&self) -> bool {
        self.admission.as_ref().is_some_and(|a| {
            matches!(
                a.step,
                GangAdmissionStep::Admitted | GangAdmissionStep::Other
            )
        }) && !self.step_unwritten()
    }
}
