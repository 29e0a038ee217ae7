//! The placement pass: takes the teams in turn, and limits how much of each job is placed
//! before the next one.

use std::collections::{BTreeSet, HashMap};
use std::ops::Bound;

use lemonweir_model::{JobId, Resources};

use super::Placer;
use super::queues::QueueKey;
use super::unmet_demand::UnmetDemand;
use crate::job::Urgency;

/// Jobs of a team that one pass considers: more than are waiting in the first minute of a
/// large fleet, and a few ms of work.
const MAX_JOBS_PER_TEAM: usize = 768;
/// ms after which another pass is due if jobs are queued, even without any event.
const PASS_INTERVAL_MS: u64 = 2_000;
/// Tasks and gangs that one pass places at most: some tens of ms of work. The next pass
/// places the rest.
const MAX_STARTS: usize = 2_048;
/// Units of one job that a [`TurnShare::All`] turn places at most, so that an array of 100,000
/// does not starve other jobs.
const MAX_STARTS_PER_JOB: usize = 512;
/// ms between two plans of headroom. A plan costs as much as a whole pass, and changes only
/// as fast as the arrivals do.
const HEADROOM_INTERVAL_MS: u64 = 1_000;

/// How much of a job is placed in one turn.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum TurnShare {
    /// Up to half of its replicas; a second turn in the same pass places the others.
    HalfOfReplicas,
    /// The first task, or the gang. The other tasks are placed in the next pass.
    FirstUnit,
    /// Up to half of its tasks. The others are placed in the next pass.
    HalfOfTasks,
    /// Everything that fits, up to [`MAX_STARTS_PER_JOB`] units.
    All,
}

/// A job's turn in a pass.
#[derive(Clone, Debug)]
struct JobTurn {
    job: JobId,
    share: TurnShare,
}

/// Orders the turns of a queue's jobs. Services below half of their replicas have two turns:
/// all those of one priority are brought to half before any of them gets the rest.
/// Low-priority jobs have one: for their first unit, for half of their tasks, or for all.
fn order_turns<'a>(queue: impl Iterator<Item = &'a QueueKey>) -> Vec<JobTurn> {
    let turn = |job: JobId, share| JobTurn { job, share };
    let mut turns = Vec::new();
    let mut second_turns: Vec<JobId> = Vec::new();
    let mut current_priority = None;
    for key in queue {
        if current_priority != Some(key.priority) || key.urgency != Urgency::ServiceBelowHalf {
            turns.extend(second_turns.drain(..).map(|job| turn(job, TurnShare::All)));
            current_priority = Some(key.priority);
        }
        let share = match key.urgency {
            Urgency::ServiceBelowHalf => {
                second_turns.push(key.job.clone());
                TurnShare::HalfOfReplicas
            }
            Urgency::NotStarted => TurnShare::FirstUnit,
            Urgency::BelowHalf => TurnShare::HalfOfTasks,
            Urgency::Normal => TurnShare::All,
        };
        turns.push(turn(key.job.clone(), share));
    }
    turns.extend(
        second_turns
            .into_iter()
            .map(|job| turn(job, TurnShare::All)),
    );
    turns
}

/// The turns of one team in one pass. Of a long queue, a pass considers the head, and a part
/// of the rest that starts where the previous pass stopped: thousands of jobs of one team
/// must not delay the other teams.
fn team_turns(queue: &BTreeSet<QueueKey>, cursor: &mut Option<QueueKey>) -> Vec<JobTurn> {
    if queue.len() <= MAX_JOBS_PER_TEAM {
        *cursor = None;
        return order_turns(queue.iter());
    }
    let head = MAX_JOBS_PER_TEAM / 2;
    let mut turns = order_turns(queue.iter().take(head));
    let last_of_head = queue.iter().nth(head - 1);
    let from = cursor
        .take()
        .filter(|cursor| last_of_head.is_none_or(|last| cursor > last))
        .or(last_of_head.cloned());
    let Some(from) = from else { return turns };
    let rest: Vec<&QueueKey> = queue
        .range((Bound::Excluded(from), Bound::Unbounded))
        .take(MAX_JOBS_PER_TEAM - head)
        .collect();
    if rest.len() == MAX_JOBS_PER_TEAM - head {
        *cursor = rest.last().map(|key| (*key).clone());
    }
    turns.extend(order_turns(rest.into_iter()));
    turns
}

/// State of one placement pass, with the minimal needs of the requests that found no room.
/// A pass never frees room, so a request with the same signature that needs at least as much
/// finds none either. This keeps the number of searches low for a queue of thousands of jobs.
pub(super) struct PlacementPass {
    /// Minimal needs that found no room, by request signature.
    failed: HashMap<u64, Vec<Resources>>,
    /// Chunks of low-priority jobs that may still get their first unwritten start.
    pub(super) low_priority_chunks_left: usize,
}

impl PlacementPass {
    /// True if a request of this signature that needed no more than `need` found no room.
    pub(super) fn is_known_to_fail(&self, signature: u64, need: &Resources) -> bool {
        self.failed
            .get(&signature)
            .is_some_and(|minimal| minimal.iter().any(|failed| need.covers(failed)))
    }

    /// Records that a request found no room.
    pub(super) fn record_failure(&mut self, signature: u64, need: Resources) {
        let minimal = self.failed.entry(signature).or_default();
        minimal.retain(|failed| !failed.covers(&need));
        minimal.push(need);
    }
}

/// The remaining turns of one team in a pass.
struct TeamTurns {
    turns: std::vec::IntoIter<JobTurn>,
    current: Option<JobTurn>,
    /// Units of the current job placed in this turn.
    starts: usize,
}

impl TeamTurns {
    fn new(turns: Vec<JobTurn>) -> Self {
        let mut turns = turns.into_iter();
        let current = turns.next();
        Self {
            turns,
            current,
            starts: 0,
        }
    }

    fn next_job(&mut self) {
        self.current = self.turns.next();
        self.starts = 0;
    }
}

impl Placer {
    /// True if a placement pass may place something or change the demand.
    pub fn placement_is_due(&self, now: u64) -> bool {
        // Without any event, low-priority jobs may by now have waited long enough for more
        // expensive machines, and the cloud may have capacity again.
        let interval_elapsed =
            !self.queues.is_empty() && now >= self.last_pass_at + PASS_INTERVAL_MS;
        let backoff_elapsed = self
            .backing_off
            .first()
            .is_some_and(|(until, _)| now >= *until);
        self.placement_due || interval_elapsed || backoff_elapsed
    }

    /// Places queued jobs of all teams as far as there is room; the others become
    /// [`Placer::unmet_demand`].
    pub fn run_placement_pass(&mut self, now: u64) {
        self.placement_due = false;
        self.last_pass_at = now;
        self.placement_passes += 1;
        self.end_elapsed_backoffs(now);
        let teams = self.start_turns();
        let unmet = self.place_round_robin(teams, now);
        self.update_unmet_demand(unmet, now);
    }

    fn end_elapsed_backoffs(&mut self, now: u64) {
        while let Some((until, id)) = self
            .backing_off
            .first()
            .filter(|(until, _)| now >= *until)
            .cloned()
        {
            self.backing_off.remove(&(until, id.clone()));
            if let Some(job) = self
                .jobs
                .get_mut(&id)
                .filter(|job| now >= job.backoff_until)
            {
                job.backoff_until = 0;
                self.update_indexes(&id, now);
            }
        }
    }

    fn start_turns(&mut self) -> Vec<TeamTurns> {
        let cursors = &mut self.queue_cursors;
        cursors.retain(|team, _| self.queues.contains_key(team));
        self.queues
            .iter()
            .map(|(team, queue)| {
                TeamTurns::new(team_turns(queue, cursors.entry(team.clone()).or_default()))
            })
            .collect()
    }

    /// Goes round-robin over the teams and places one unit of each one's current job.
    fn place_round_robin(&mut self, mut teams: Vec<TeamTurns>, now: u64) -> UnmetDemand {
        let mut unmet = UnmetDemand::default();
        let mut pass = PlacementPass {
            failed: HashMap::new(),
            low_priority_chunks_left: self.low_priority_chunks_left(),
        };
        let mut team = self.team_cursor % teams.len().max(1);
        self.team_cursor = self.team_cursor.wrapping_add(1);
        let mut starts = 0;
        while teams.iter().any(|team| team.current.is_some()) {
            // Bounds the time of a pass: heartbeats and other jobs must not wait until an
            // array of 100,000 tasks is placed.
            if starts >= MAX_STARTS {
                self.placement_due = true;
                break;
            }
            let turns = &mut teams[team];
            if let Some(turn) = turns.current.clone() {
                let placed = self.place_next(&turn.job, &mut pass, now);
                starts += usize::from(placed);
                turns.starts += usize::from(placed);
                if !placed {
                    self.note_not_placed(&turn, &mut unmet, now);
                }
                let turn_is_over = self.turn_is_over(&turn, turns.starts);
                // The rest of the job is placed in the next pass. A service below half gets
                // its second turn in this one.
                self.placement_due |=
                    placed && turn_is_over && turn.share != TurnShare::HalfOfReplicas;
                if !placed || turn_is_over {
                    turns.next_job();
                }
            }
            team = (team + 1) % teams.len().max(1);
        }
        unmet
    }

    fn note_not_placed(&mut self, turn: &JobTurn, unmet: &mut UnmetDemand, now: u64) {
        if self.services.contains(&turn.job) {
            self.services.mark_changed(&turn.job);
        }
        if turn.share != TurnShare::HalfOfReplicas {
            self.record_unmet_demand(&turn.job, unmet, now);
        }
    }

    /// True if a job has received its share after `starts` units.
    fn turn_is_over(&self, turn: &JobTurn, starts: usize) -> bool {
        match turn.share {
            TurnShare::HalfOfReplicas | TurnShare::HalfOfTasks => self
                .jobs
                .get(&turn.job)
                .is_none_or(|job| job.urgency() == Urgency::Normal),
            TurnShare::FirstUnit => true,
            TurnShare::All => starts >= MAX_STARTS_PER_JOB,
        }
    }

    fn update_unmet_demand(&mut self, unmet: UnmetDemand, now: u64) {
        let mut demand = unmet.demand;
        // While other work waits, nothing is provisioned for low-priority work, except what
        // must start now.
        if demand.iter().any(|d| !d.low_priority) {
            self.last_shortage_at = now;
            demand.retain(|d| !d.low_priority || d.must_start_now);
        }
        // Booting instances are assigned to other demand first.
        demand.sort_by_key(|d| d.must_start_now);
        if now >= self.headroom_planned_at + HEADROOM_INTERVAL_MS {
            self.headroom_planned_at = now;
            self.headroom_demand = self.plan_headroom(now);
        }
        demand.extend(self.headroom_demand.iter().cloned());
        self.unmet_demand = demand;
    }
}
