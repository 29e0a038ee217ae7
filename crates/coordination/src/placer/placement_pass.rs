//! A pass over the teams' queues: whose turn it is, and how much of a job is placed
//! in it.

use std::collections::{BTreeSet, HashMap};
use std::ops::Bound;

use lemonweir_model::{JobId, Resources};

use super::Placer;
use super::queues::QueueKey;
use super::unmet_demand::UnmetDemand;
use crate::job::Urgency;

/// Jobs of a team that one pass looks at: more than wait in a large fleet's first
/// minute, and some ms of work.
const MAX_JOBS_PER_TEAM: usize = 768;
/// ms after a pass from which on there is another if something waits, though
/// nothing happened.
const PASS_INTERVAL_MS: u64 = 2_000;
/// Tasks and gangs that one pass places at most: some tens of ms of work. The next
/// pass goes on.
const MAX_STARTS: usize = 2_048;
/// Of these, tasks of one job: an array of 100,000 leaves others their turn.
const MAX_STARTS_PER_JOB: usize = 512;
/// ms between two plans of headroom: it changes as arrivals do, and a plan costs as
/// much as a whole pass.
const HEADROOM_INTERVAL_MS: u64 = 1_000;

/// How much of a job is placed in its turn.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum TurnShare {
    /// Up to half of its replicas; it comes again for the others.
    HalfOfReplicas,
    /// The first task, or the gang; the others have their turn in the next pass.
    FirstUnit,
    /// Up to half of its tasks; likewise.
    HalfOfTasks,
    /// All that fits.
    All,
}

/// A job's turn in a pass.
#[derive(Clone, Debug)]
struct JobTurn {
    job: JobId,
    share: TurnShare,
}

/// The jobs of a queue in the order of their turns: those of a priority that have
/// less than half of their replicas come once for that, before all of it; low-priority
/// ones for a first unit, then for half of their tasks, then for all.
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
            Urgency::NotBegun => TurnShare::FirstUnit,
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

/// The turns of one team in one pass. Guards against a team whose thousands of
/// jobs cost all others time: of a long queue a pass looks at its head, and goes
/// on with the rest where the pass before stopped.
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

/// What found no room in this pass: for each kind of request the least needs. Who
/// asks the same way for as much or more finds none either, since a pass only
/// takes room: so a queue of thousands costs few searches, however its jobs differ.
pub(super) struct PlacementPass {
    /// Least needs without room, by the request's signature.
    failed: HashMap<u64, Vec<Resources>>,
    /// Chunks of low-priority work that may get a first start to write.
    pub(super) low_priority_chunks_left: usize,
}

impl PlacementPass {
    /// True if a request of this signature for as little or less found no room.
    pub(super) fn is_known_to_fail(&self, signature: u64, need: &Resources) -> bool {
        self.failed
            .get(&signature)
            .is_some_and(|least| least.iter().any(|failed| need.covers(failed)))
    }

    /// Notes that a request found no room.
    pub(super) fn record_failure(&mut self, signature: u64, need: Resources) {
        let least = self.failed.entry(signature).or_default();
        least.retain(|failed| !failed.covers(&need));
        least.push(need);
    }
}

/// One team's turns in a pass.
struct TeamTurns {
    turns: std::vec::IntoIter<JobTurn>,
    current: Option<JobTurn>,
    /// Units placed of the current job.
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
    /// True if a placement pass may find something to do.
    pub fn placement_is_due(&self, now: u64) -> bool {
        // What waits may be worth more by now, or the cloud may have capacity again,
        // though nothing happened here.
        let interval_elapsed =
            !self.queues.is_empty() && now >= self.last_pass_at + PASS_INTERVAL_MS;
        let backoff_elapsed = self
            .backing_off
            .first()
            .is_some_and(|(until, _)| now >= *until);
        self.placement_due || interval_elapsed || backoff_elapsed
    }

    /// Goes through the teams' queues in turn and places what fits; what does not
    /// becomes [`Placer::unmet_demand`].
    pub fn run_placement_pass(&mut self, now: u64) {
        self.placement_due = false;
        self.last_pass_at = now;
        self.placement_passes += 1;
        self.end_elapsed_backoffs(now);
        let teams = self.start_turns();
        let unmet = self.place_in_turns(teams, now);
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

    /// Places one unit of each team's current job after the other.
    fn place_in_turns(&mut self, mut teams: Vec<TeamTurns>, now: u64) -> UnmetDemand {
        let mut unmet = UnmetDemand::default();
        let mut pass = PlacementPass {
            failed: HashMap::new(),
            low_priority_chunks_left: self.low_priority_chunks_left(),
        };
        let mut team = self.team_cursor % teams.len().max(1);
        self.team_cursor = self.team_cursor.wrapping_add(1);
        let mut starts = 0;
        while teams.iter().any(|team| team.current.is_some()) {
            // Guards against a pass that places an array of 100,000 tasks while
            // heartbeats and others' jobs wait.
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
                // What is left of it comes in the next pass.
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

    /// True if a job had its share after so many units.
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
        // Guards against money spent on low-priority work while other work waits.
        if demand.iter().any(|d| !d.idle) {
            self.last_shortage_at = now;
            demand.retain(|d| !d.idle || d.must_start_now);
        }
        // What boots is counted for others before it is for these.
        demand.sort_by_key(|d| d.must_start_now);
        if now >= self.headroom_planned_at + HEADROOM_INTERVAL_MS {
            self.headroom_planned_at = now;
            self.headroom_demand = self.plan_headroom(now);
        }
        demand.extend(self.headroom_demand.iter().cloned());
        self.unmet_demand = demand;
    }
}
