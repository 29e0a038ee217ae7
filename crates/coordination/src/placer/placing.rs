//! Where the next tasks go.

use super::*;
use crate::autoscaler::tasks_in;

/// How much of a job is placed in its turn.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Turn {
    /// Up to half of its replicas; it comes again for the others.
    Half,
    /// The first task, or the gang; the others have their turn in the next pass.
    First,
    /// Up to half of its tasks; likewise.
    ToHalf,
    /// All that fits.
    All,
}

/// The jobs of a queue in the order of their turns: those of a priority that have
/// less than half of their replicas come once for that, before all of it; idle ones
/// for a first unit, then for half of their tasks, then for all.
fn turns<'a>(queue: impl Iterator<Item = &'a Place>) -> Vec<(JobId, Turn)> {
    let mut turns = Vec::new();
    let mut again: Vec<JobId> = Vec::new();
    let mut of = None;
    for (rank, urgency, _, id) in queue {
        if of != Some(rank) || *urgency != Urgency::BelowHalf {
            turns.extend(again.drain(..).map(|id| (id, Turn::All)));
            of = Some(rank);
        }
        turns.push(match urgency {
            Urgency::BelowHalf => {
                again.push(id.clone());
                (id.clone(), Turn::Half)
            }
            Urgency::Unbegun => (id.clone(), Turn::First),
            Urgency::ToHalf => (id.clone(), Turn::ToHalf),
            Urgency::Usual => (id.clone(), Turn::All),
        });
    }
    turns.extend(again.into_iter().map(|id| (id, Turn::All)));
    turns
}

/// Why a job waits that lacks room, and why a suspect does.
pub(super) const NO_ROOM: &str = "no machine has room; more are asked for";
const NO_TRIAL_ROOM: &str =
    "its tasks failed; no machine that runs others has room for another try";

/// Why a job waits whose team uses all that it may.
pub(super) const AT_LIMIT: &str = "its team is at its limit";

/// Why idle work waits that has room.
const IDLE_TURN: &str = "idle work; its starts wait for their turn to be written to the store";

/// What found no room in this pass: for each kind of ask the least needs. Who
/// asks the same way for as much or more finds none either, since a pass only
/// takes room: so a queue of thousands costs few walks, however its jobs differ.
pub(super) struct PlacementPass {
    failed: HashMap<u64, Vec<Resources>>,
    /// Chunks of idle work that may get a first start to write.
    idle_left: usize,
}

impl PlacementPass {
    fn covers(&self, shape: u64, need: &Resources) -> bool {
        self.failed
            .get(&shape)
            .is_some_and(|least| least.iter().any(|l| need.covers(l)))
    }

    fn note(&mut self, shape: u64, need: Resources) {
        let least = self.failed.entry(shape).or_default();
        least.retain(|l| !l.covers(&need));
        least.push(need);
    }
}

/// The turns of one team in one pass. Guards against a team whose thousands of
/// jobs cost all others time: of a long queue a pass looks at its head, and goes
/// on with the rest where the pass before stopped.
fn turns_of(queue: &BTreeSet<Place>, resume: &mut Option<Place>) -> Vec<(JobId, Turn)> {
    if queue.len() <= PASS_JOBS {
        *resume = None;
        return turns(queue.iter());
    }
    let head = PASS_JOBS / 2;
    let mut all = turns(queue.iter().take(head));
    let last = queue.iter().nth(head - 1);
    let from = resume
        .take()
        .filter(|r| last.is_none_or(|l| r > l))
        .or(last.cloned());
    let Some(from) = from else { return all };
    let rest: Vec<&Place> = queue
        .range((Bound::Excluded(from), Bound::Unbounded))
        .take(PASS_JOBS - head)
        .collect();
    if rest.len() == PASS_JOBS - head {
        *resume = rest.last().map(|p| (*p).clone());
    }
    all.extend(turns(rest.into_iter()));
    all
}

impl Placer {
    /// True if a placing pass may find something to do.
    pub fn wants_pass(&self, now: u64) -> bool {
        // What waits may be worth more by now, or the cloud may have room again,
        // though nothing happened here.
        let again = !self.queues.is_empty() && now >= self.passed_at + PASS_AGAIN_MS;
        self.place_again || again || self.asleep.first().is_some_and(|(at, _)| now >= *at)
    }

    /// Walks the team queues in turn and places what fits; what does not is
    /// left in `lacking`.
    pub fn place(&mut self, now: u64) {
        self.place_again = false;
        self.passed_at = now;
        self.passes += 1;
        while let Some((at, id)) = self.asleep.first().filter(|(at, _)| now >= *at).cloned() {
            self.asleep.remove(&(at, id.clone()));
            if let Some(job) = self.jobs.get_mut(&id).filter(|j| now >= j.not_before) {
                job.not_before = 0;
                self.settle(&id, now);
            }
        }
        let mut queues: Vec<std::vec::IntoIter<(JobId, Turn)>> = {
            let resume = &mut self.resume;
            resume.retain(|team, _| self.queues.contains_key(team));
            self.queues
                .iter()
                .map(|(team, q)| turns_of(q, resume.entry(team.clone()).or_default()).into_iter())
                .collect()
        };
        let mut lacking = Vec::new();
        let mut asked: HashMap<String, Resources> = HashMap::new();
        let mut pass = PlacementPass {
            failed: HashMap::new(),
            idle_left: self.idle_room(),
        };
        let mut current: Vec<Option<(JobId, Turn)>> =
            queues.iter_mut().map(Iterator::next).collect();
        let n = queues.len();
        let mut at = if n > 0 { self.turn % n } else { 0 };
        self.turn = self.turn.wrapping_add(1);
        // Of this pass, and of the job whose turn it is in each queue.
        let (mut starts, mut of_job) = (0, vec![0; n]);
        while current.iter().any(Option::is_some) {
            // Guards against a pass that places an array of 100,000 tasks while
            // reports and others' jobs wait.
            if starts >= PASS_STARTS {
                self.place_again = true;
                break;
            }
            if let Some((id, turn)) = current[at].clone() {
                let placed = self.place_next(&id, &mut pass, now);
                starts += usize::from(placed);
                of_job[at] += usize::from(placed);
                if !placed && self.services.has(&id) {
                    self.services.touch(&id);
                }
                if !placed && turn != Turn::Half {
                    self.note_lack(&id, &mut asked, &mut lacking, now);
                }
                let enough = match turn {
                    Turn::Half | Turn::ToHalf => self
                        .jobs
                        .get(&id)
                        .is_none_or(|j| j.urgency() == Urgency::Usual),
                    Turn::First => true,
                    Turn::All => of_job[at] >= PASS_JOB_STARTS,
                };
                // What is left of it comes in the next pass.
                self.place_again |= placed && enough && turn != Turn::Half;
                if !placed || enough {
                    current[at] = queues[at].next();
                    of_job[at] = 0;
                }
            }
            at = (at + 1) % n.max(1);
        }
        // Guards against money spent on idle work while other work waits.
        if lacking.iter().any(|d| !d.idle) {
            self.lacked_at = now;
            lacking.retain(|d| !d.idle || d.first);
        }
        // What boots is counted for others before it is for these.
        lacking.sort_by_key(|d| d.first);
        if now >= self.spare_at + SPARE_EVERY_MS {
            self.spare_at = now;
            self.spare_lacking = self.add_spare(now);
        }
        lacking.extend(self.spare_lacking.iter().cloned());
        self.lacking = lacking;
    }

    /// True if a job of idle work has begun nothing and can't wait any longer for room
    /// that costs little: a machine that is asked for now takes a boot and a fetch.
    fn must_begin(&self, job: &Job, now: u64) -> bool {
        if job.rank() != Priority::Low || job.begun() {
            return false;
        }
        let fetch_ms = job.spec().map_or(0, |spec| self.fetch_ms(spec));
        let patience =
            IDLE_BEGIN_MS.saturating_sub(self.boot_ms * 3 / 2 + fetch_ms + IDLE_BEGIN_SLACK_MS);
        job.waited(now, now + self.wall_offset_ms) >= patience.max(IDLE_BEGIN_LEAST_MS)
    }

    /// Tasks of one job that are counted as demand at most.
    fn demand_most(&self, need: &Resources) -> u64 {
        let a_machine = self
            .rooms
            .iter()
            .map(|room| tasks_in(room, need))
            .filter(|n| *n < MAX_TASKS)
            .max()
            .unwrap_or(0);
        DEMAND_MOST.max(DEMAND_MACHINES * a_machine)
    }

    /// Notes what a job lacks, within what its team may still take.
    pub(super) fn note_lack(
        &self,
        id: &JobId,
        asked: &mut HashMap<String, Resources>,
        lacking: &mut Vec<CapacityDemand>,
        now: u64,
    ) {
        // A suspect rents nothing: what it would run on would only see it fail. Nor
        // does what only waits for its turn.
        let Some(job) = self
            .jobs
            .get(id)
            .filter(|j| j.suspect.is_none() && j.reason != IDLE_TURN)
        else {
            return;
        };
        let Some(spec) = job.spec() else { return };
        let limit = self.limits.get(&job.team).copied().unwrap_or(NO_LIMIT);
        let idle = spec.priority == Priority::Low;
        let starved = idle && job.starved(now);
        let first = self.must_begin(job, now);
        if idle && !spec.allow_spot && !starved && !first {
            return;
        }
        let already = asked.get(&job.team).copied().unwrap_or_default();
        let used = self
            .usage
            .get(&job.team)
            .copied()
            .unwrap_or_default()
            .plus(&already);
        let gang = spec.kind == JobKind::Gang;
        let waiting = match u64::from(job.waiting()) {
            _ if first && !gang => 1,
            waiting if starved => waiting.min(job.to_half()).min(DEMAND_MOST),
            waiting if idle => waiting.min(DEMAND_MOST),
            waiting => waiting.min(self.demand_most(&job.need)),
        };
        let left = limit.minus(&used);
        let ratio = |have: u64, need: u64| have.checked_div(need).unwrap_or(u64::MAX);
        let most = ratio(left.milli_cpus, job.need.milli_cpus).min(ratio(left.milli_gpus, job.need.milli_gpus));
        // A gang needs all of its room. A service that its team's limit keeps from
        // being whole begins all the same.
        let count = if !gang || waiting <= most {
            waiting.min(most)
        } else {
            0
        };
        if count == 0 {
            return;
        }
        asked.insert(job.team.clone(), already.plus(&job.need.times(count)));
        let demand = CapacityDemand {
            team: job.team.clone(),
            need: job.need,
            types: spec.machine_types.clone(),
            zone: spec.zone.clone(),
            spot: spec.allow_spot,
            count: count as u32,
            one_zone: spec.same_zone,
            only_spot: idle && !starved && !first,
            idle,
            first,
        };
        if !spec.spread || job.tasks == 1 || spec.zone.is_some() {
            lacking.push(demand);
            return;
        }
        // A scattered job lacks room zone by zone: machines that boot in one
        // zone are of no use to the tasks that must be in another.
        let most = job.tasks.div_ceil(2);
        let mut left: BTreeMap<&String, u32> = self
            .zones
            .iter()
            .map(|z| {
                (
                    z,
                    most.saturating_sub(job.live.values().filter(|l| &l.zone == z).count() as u32),
                )
            })
            .collect();
        let mut shares: BTreeMap<&String, u32> = BTreeMap::new();
        for _ in 0..count {
            let Some((zone, room)) = left
                .iter_mut()
                .max_by_key(|(_, room)| **room)
                .filter(|(_, room)| **room > 0)
            else {
                break;
            };
            *room -= 1;
            *shares.entry(zone).or_default() += 1;
        }
        lacking.extend(shares.into_iter().map(|(zone, count)| CapacityDemand {
            zone: Some(zone.clone()),
            count,
            ..demand.clone()
        }));
    }

    /// Places the next unit of a job: a task, or a whole gang.
    pub(super) fn place_next(&mut self, id: &JobId, pass: &mut PlacementPass, now: u64) -> bool {
        let must_begin = self
            .jobs
            .get(id)
            .is_some_and(|job| self.must_begin(job, now));
        let Some(job) = self.jobs.get_mut(id) else {
            return false;
        };
        let Some(record) = job.record.clone() else {
            return false;
        };
        let spec = &record.spec;
        let suspect = job.suspect.is_some();
        if suspect && !job.live.is_empty() {
            return false;
        }
        let Some(first) = job.next_waiting() else {
            return false;
        };
        // Guards against idle work that takes up room long before it is its turn to
        // be written, and against a pass that places 100,000 tasks.
        let first_start = spec.priority == Priority::Low
            && job
                .chunks
                .get(&(first / CHUNK_TASKS))
                .is_none_or(|c| !c.start_unwritten());
        if first_start && pass.idle_left == 0 {
            job.reason = IDLE_TURN;
            return false;
        }
        let tasks: Vec<u32> = if spec.kind == JobKind::Gang {
            (first..job.tasks).filter(|t| !job.is_done(*t)).collect()
        } else {
            vec![first]
        };
        let limit = self.limits.get(&job.team).copied().unwrap_or(NO_LIMIT);
        let used = self.usage.get(&job.team).copied().unwrap_or_default();
        let after = used.plus(&job.need.times(tasks.len() as u64));
        if !limit.covers(&Resources { memory_mb: 0, ..after }) {
            job.reason = AT_LIMIT;
            return false;
        }
        let guaranteed = within(&after, self.guarantees.get(&job.team));
        let evict = if guaranteed {
            PreemptionScope::LowerPriorityOrOverQuota
        } else {
            PreemptionScope::LowerPriority
        };
        let soon = self
            .start_within
            .get(&spec.class)
            .copied()
            .unwrap_or(f64::MAX);
        let soon = if guaranteed {
            soon.min(self.guarantee_within)
        } else {
            soon
        };
        // A replica that was up is down while it fetches.
        let too_slow = spec.image_gb * FETCH_SPREAD > soon * self.fetch_gb_per_s
            || spec.kind == JobKind::Service && job.ran;
        // Jobs that ask the same, or less, found no room a moment ago.
        let frugal = spec.priority == Priority::Low && !job.starved(now) && !must_begin;
        let shape = {
            let mut hasher = DefaultHasher::new();
            (
                &spec.machine_types,
                &spec.zone,
                spec.allow_spot,
                spec.spread && job.tasks > 1,
                tasks.len(),
                suspect,
                frugal,
            )
                .hash(&mut hasher);
            (
                &job.avoid,
                &job.late,
                spec.priority as u8,
                guaranteed,
                spec.same_zone && tasks.len() > 1,
            )
                .hash(&mut hasher);
            hasher.finish()
        };
        if pass.covers(shape, &job.need) {
            job.reason = if suspect { NO_TRIAL_ROOM } else { NO_ROOM };
            return false;
        }
        let mut zone_sets: Vec<Option<String>> = vec![None];
        if spec.same_zone && tasks.len() + job.live.len() > 1 {
            let present: BTreeSet<String> = job.live.values().map(|l| l.zone.clone()).collect();
            let all: BTreeSet<String> = self
                .fields
                .iter()
                .flat_map(PlacementIndex::zones)
                .map(str::to_owned)
                .collect();
            zone_sets = if present.is_empty() {
                all.into_iter().map(Some).collect()
            } else {
                present.into_iter().map(Some).collect()
            };
        }
        let (job_tasks, ran, trading) = (job.tasks, job.ran, job.trading);
        // It is the suspect's own fault that it failed everywhere: in a small fleet
        // no other machine may be left.
        let (need, avoid) = (
            job.need,
            if suspect {
                Vec::new()
            } else {
                [job.avoid.as_slice(), &job.late].concat()
            },
        );
        let counts = if spec.spread {
            job.per_zone(None)
        } else {
            HashMap::new()
        };
        let order = self.shards_order();
        // Where something else ran well of late, a suspect's failure tells most.
        let trusted = suspect.then(|| self.faults.trusted(now));
        let among = if suspect {
            vec![trusted.as_ref(), None]
        } else {
            vec![None]
        };
        for (only, zone) in among
            .iter()
            .flat_map(|only| zone_sets.iter().map(move |zone| (*only, zone)))
        {
            let mut chosen: Vec<(u32, usize, usize, PreemptionScope, bool)> = Vec::new();
            let mut per_zone = counts.clone();
            for &task in &tasks {
                let zones =
                    allowed_zones(spec, zone.as_deref(), &per_zone, job_tasks, &self.fields);
                let ask = PlacementRequest {
                    need,
                    types: spec.machine_types.as_deref(),
                    zones,
                    spot: spec.allow_spot,
                    lasting: spec.kind == JobKind::Service,
                    image: &spec.image,
                    image_mb: spec.image_mb(),
                    avoid: &avoid,
                    only,
                    frugal,
                };
                // Fairness has no work while room exists; without room, lower
                // priorities make way, and what others run beyond their
                // guarantee does for a team within its own. Room without the
                // image counts as none if the fetch alone takes too long.
                let mut weighed = self.weigh(id, None, &ask, &order, now);
                weighed.stakes.here_first = too_slow && !trading;
                let classes = classes(&self.trade, &weighed.stakes);
                let (fields, kindred) = (&self.fields, &weighed.kindred);
                let pushed = |with_image| {
                    let fit = |p: usize| {
                        fields[p].evict_fit(&ask, spec.priority, guaranteed, with_image, kindred.get(p))
                    };
                    order
                        .iter()
                        .find_map(|&(p, _)| fit(p).map(|i| (p, i, evict)))
                };
                let warm = if too_slow {
                    classes
                        .iter()
                        .take_while(|c| c.near == ImageLocality::Here)
                        .count()
                } else {
                    classes.len()
                };
                let mut walk = Walk::new(fields, &order, &ask, kindred);
                let mut room = |classes: &[PlacementClass]| {
                    walk.find(classes)
                        .map(|(p, i, _)| (p, i, PreemptionScope::Nobody))
                };
                let found = room(&classes[..warm])
                    .or_else(|| {
                        if too_slow && !suspect {
                            pushed(true)
                        } else {
                            None
                        }
                    })
                    .or_else(|| room(&classes[warm..]))
                    .or_else(|| if suspect { None } else { pushed(false) });
                let Some((p, i, evict)) = found else { break };
                let field = &mut self.fields[p];
                let warm = field.has_image(i, &spec.image);
                field.take(i, &need, &spec.image);
                if spec.kind == JobKind::Service {
                    field.stays(i);
                }
                if spec.spread {
                    *per_zone.entry(field.slots[i].zone.clone()).or_default() += 1;
                }
                chosen.push((task, p, i, evict, warm));
            }
            if chosen.len() < tasks.len() {
                for (_, p, i, _, _) in chosen {
                    let machine = self.fields[p].slots[i].id.clone();
                    self.retake(&machine, p as u16);
                }
                continue;
            }
            let Some(job) = self.jobs.get_mut(id) else {
                return false;
            };
            let attempt = job.next;
            job.next += 1;
            job.late.clear();
            job.trading = false;
            job.admission = job
                .gang()
                .then(|| GangAdmission::planned(attempt, now + self.wall_offset_ms));
            for (task, p, i, evict, warm) in chosen {
                let slot = &self.fields[p].slots[i];
                if p != usize::from(self.shard) {
                    self.others_turn = p as u16;
                }
                let Some(job) = self.jobs.get_mut(id) else {
                    return false;
                };
                let change = job.touch(task);
                if let Some(chunk) = job.chunks.get_mut(&(task / CHUNK_TASKS)) {
                    chunk.start = change;
                    if job.admission.is_some() {
                        chunk.step = change;
                    }
                }
                info!(job = %id, task, attempt, machine = %slot.id, shard = p, warm, ?evict, "placed");
                let live = LiveAttempt {
                    attempt,
                    machine: slot.id.clone(),
                    shard: p as u16,
                    zone: slot.zone.clone(),
                    change,
                    standing: None,
                    kill: None,
                    evict,
                    since: now,
                    over: true,
                };
                self.enter(id, task, live);
            }
            pass.idle_left -= usize::from(first_start);
            // A replica that was only moved is no sign of new work, nor is a try
            // of a suspect, nor idle work.
            if !(spec.kind == JobKind::Service && ran || suspect || spec.priority == Priority::Low) {
                self.placed_at = now;
            }
            self.settle(id, now);
            return true;
        }
        let Some(job) = self.jobs.get_mut(id) else {
            return false;
        };
        job.reason = if suspect { NO_TRIAL_ROOM } else { NO_ROOM };
        if !job.late.is_empty() {
            job.late.clear();
            self.place_again = true;
            return false;
        }
        pass.note(shape, job.need);
        false
    }
}
