//! The placer's side of a part: its teams' jobs, their recorded attempts, and
//! where the next ones go.
//!
//! Every attempt is written to the state service before its owner hears of it,
//! and stays in what this placer wants until its end has been written too.

mod gangs;
mod headroom;
mod placing;
mod preemption;
mod rebalancing;
mod reconciliation;
mod records;
mod scoring;
mod supervision;

use std::borrow::Cow;
use std::collections::{BTreeMap, BTreeSet, HashMap, HashSet, VecDeque};
use std::hash::{DefaultHasher, Hash, Hasher};
use std::ops::Bound;
use std::sync::Arc;

use tracing::{debug, info, warn};

use crate::autoscaler::CapacityDemand;
use crate::change_log::ChangeLog;
use crate::fault_attribution::FaultAttribution;
use crate::gang_admission::GangAdmission;
use crate::image_locality::book::Book;
use crate::image_locality::trade::{ImageLocality, PlacementClass, PlacementRisk, classes};
use crate::image_locality::walk::{PlacedReplicas, Walk};
use crate::job::{EndingAttempt, Job, LiveAttempt, TaskChunk, TaskPlacement, Urgency};
use crate::placement::{PlacementIndex, PlacementRequest};
use crate::supervision::services::SupervisedServices;
use lemonweir_model::constants::*;
use lemonweir_model::policy::ServicePlacementWeights;
use lemonweir_model::{
    AttemptId, Catalog, JobId, JobKind, JobSpec, MachineId, MachineType, Priority, Resources,
};
use lemonweir_protocol::kv_store::{CompareAndSwap, Condition, Write};
use lemonweir_protocol::peer::{
    AttemptState, Continuation, DesiredAttempt, ExitCause, JobProgress, ObservedState,
    PartitionedZone, PreemptionScope, ProvisionedInstance, ShardView, SyncRequest, encoded_len,
};
use lemonweir_protocol::users::JobPhase;
use lemonweir_storage::packed_chunk::chunk_value;
use lemonweir_storage::records::{
    JobEndRecord, JobRecord, TaskChunkRecord, end_key, job_key, task_chunk_key, shard_key,
};
use lemonweir_storage::state_cache::CachedJob;

/// What passes between this placer and one owner.
#[derive(Default)]
struct Link {
    /// Token of the owner that `wants` are told to.
    to_token: u64,
    /// Number of the last message.
    seq: u64,
    /// Every recorded attempt on the owner's machines.
    wants: ChangeLog<AttemptId, DesiredAttempt>,
    /// State of the wants that was sent, and that the owner has.
    sent: u64,
    acked: u64,
    /// State of the notes that was sent, and that the owner's node has.
    notes_sent: u64,
    notes_acked: u64,
    /// Token of the owner that told us its state, the number of the newest
    /// answer, and the states that we have.
    token: u64,
    got: u64,
    have: ObservedState,
    /// Attempts that the owner has taken, by machines whose figures we have not
    /// got since.
    uncounted: HashMap<MachineId, Vec<(JobId, u32)>>,
    /// It is told through the store.
    by_mail: bool,
    /// When it last told of its machines, ms.
    told_at: Option<u64>,
}

/// A transaction under way, with what it writes.
#[derive(Default)]
struct Pending {
    chunks: Vec<(JobId, u32, u64, bool)>,
    ends: Vec<(JobId, JobPhase)>,
    /// Jobs on whose keys it depends, with the versions that these must have.
    jobs: Vec<(JobId, u64)>,
}

impl Pending {
    /// Records that it writes.
    fn records(&self) -> usize {
        self.chunks.len() + self.ends.len()
    }
}

/// What a transaction's end means for the part.
#[derive(Debug, PartialEq, Eq)]
pub enum ShardOwnership {
    /// Go on.
    Fine,
    /// The part is no longer ours.
    Lost,
}

/// How a transaction ended.
#[derive(Debug)]
pub enum CompareAndSwapOutcome {
    /// Made, at this revision.
    Done(u64),
    /// Not made: these keys had another version.
    Conflict(Vec<String>),
    /// Not made, or not known: try again.
    Again,
    /// Not made, and it never will be as it is: a value or the whole is too large.
    Refused,
}

/// A machine rented by this placer that no view has shown yet.
#[derive(Clone, Debug)]
pub struct PendingInstance {
    /// What it is.
    pub rented: ProvisionedInstance,
    /// Its part.
    pub shard: u16,
    /// When it was rented, ms.
    pub at: u64,
}

/// What a placer is told when it starts.
pub struct PlacerConfig {
    /// Limits of the teams.
    pub limits: HashMap<String, Resources>,
    /// Guarantees of the teams.
    pub guarantees: HashMap<String, Resources>,
    /// Zones.
    pub zones: Vec<String>,
    /// Changes a transaction may hold.
    pub txn_ops: usize,
    /// Share of the expected work that room is kept for.
    pub spare: f64,
    /// Changes a second that idle work may write.
    pub idle_writes: usize,
    /// ms for which a gang's task waits on its machine for the others.
    pub gang_wait_ms: u64,
    /// Time of day at the steady clock's zero, ms.
    pub wall_offset_ms: u64,
    /// What a replica's place may cost against what it risks.
    pub trade: ServicePlacementWeights,
}

/// What became of a task.
enum TaskFate {
    /// It runs; whether this placer started it.
    Ran(JobId, u32, bool),
    /// A replica is over.
    Lost(JobId, u32),
}

/// Where a job stands in its team's queue: priority, then what is missing most,
/// then age, or size ([`Job::turn`]).
type Place = (Priority, Urgency, u64, JobId);

/// Where it stands for its team's guarantee: priority, then age.
type Seniority = (Priority, u64, JobId);

/// The placer of a part.
pub struct Placer {
    shard: u16,
    token: u64,
    jobs: BTreeMap<JobId, Job>,
    links: Vec<Link>,
    /// The machines of all parts, as far as their owners told.
    fields: Vec<PlacementIndex>,
    /// Live attempts on each machine, and those that no view has shown yet.
    on: HashMap<MachineId, BTreeSet<(JobId, u32)>>,
    unseen: HashMap<MachineId, BTreeSet<(JobId, u32)>>,
    /// What each team's attempts take.
    usage: HashMap<String, Resources>,
    /// Jobs with a task to place, and with a live attempt, by team.
    queues: BTreeMap<String, BTreeSet<Place>>,
    /// Where the next pass goes on in a queue that is too long for one.
    resume: HashMap<String, Option<Place>>,
    running: BTreeMap<String, BTreeSet<Seniority>>,
    /// Jobs that wait for a time.
    asleep: BTreeSet<(u64, JobId)>,
    /// Jobs whose wants or notes may have changed.
    changed: BTreeSet<JobId>,
    /// Teams whose use of their guarantee may have changed.
    regauge: BTreeSet<String>,
    /// Jobs with something to write, and since when.
    unsaved: BTreeMap<JobId, u64>,
    notes: ChangeLog<JobId, (u32, u32, Cow<'static, str>)>,
    /// Zones out of sight, by the part whose owner said so.
    hidden: Vec<BTreeMap<String, HiddenZone>>,
    /// Whose fault failures were.
    faults: FaultAttribution,
    limits: HashMap<String, Resources>,
    guarantees: HashMap<String, Resources>,
    /// Seconds within which tasks of a class should start.
    start_within: HashMap<String, f64>,
    /// Seconds within which work within a guarantee should start.
    guarantee_within: f64,
    /// Starts awaited by their users that came of late.
    arrivals: VecDeque<(u64, Arc<JobRecord>)>,
    /// Empty machines that work to come would take.
    keep: Vec<MachineId>,
    /// What that work lacks, and when that was last looked at.
    spare_lacking: Vec<CapacityDemand>,
    spare_at: u64,
    /// Share of the expected work that room is kept for.
    spare: f64,
    /// How many times a spot machine an ordinary one costs, within bounds.
    spot_discount: f64,
    boot_ms: u64,
    /// Rooms of the machine types.
    rooms: Vec<Resources>,
    started: u64,
    /// Usual fetch rate.
    fetch_gb_per_s: f64,
    /// What a replica's place may cost against what it risks, and where the look for
    /// better places goes on.
    trade: ServicePlacementWeights,
    better_after: Option<JobId>,
    /// Sizes and use of images, and caches by machine type, thousandths of a GB.
    pub book: Book,
    caches: HashMap<String, u64>,
    turn: usize,
    pending: Option<Pending>,
    /// Machines rented that are not in any view yet.
    pub promises: Vec<PendingInstance>,
    /// What found no room in the last pass.
    pub lacking: Vec<CapacityDemand>,
    /// Passes made: what lacks is worth a new plan after one.
    pub passes: u64,
    txn_ops: usize,
    /// Records that a transaction may hold: few after one was refused for its size.
    records_at_once: usize,
    /// Newest form of the records that every controller reads.
    pub(crate) records_version: u32,
    /// Changes a second that idle work may write, and when it may again, ms.
    idle_writes: usize,
    idle_after: u64,
    gang_wait_ms: u64,
    /// Time of day at the steady clock's zero, ms.
    wall_offset_ms: u64,
    /// Gangs that something happened to, and when others have to be looked at.
    gangs: BTreeSet<JobId>,
    gang_times: BTreeSet<(u64, JobId)>,
    zones: Vec<String>,
    place_again: bool,
    passed_at: u64,
    lacked_at: u64,
    placed_at: u64,
    moved_at: u64,
    others_turn: u16,
    /// How the services stand.
    pub(crate) services: SupervisedServices,
    /// What the holder of the part should hear of replicas, in order.
    fates: Vec<TaskFate>,
}

impl Placer {
    /// A placer that has just got its part.
    pub fn new(shard: u16, token: u64, shards: u16, terms: PlacerConfig, now: u64) -> Self {
        let PlacerConfig {
            limits,
            guarantees,
            zones,
            txn_ops,
            spare,
            idle_writes,
            gang_wait_ms,
            wall_offset_ms,
            trade,
        } = terms;
        Self {
            shard,
            token,
            jobs: BTreeMap::new(),
            // A part's numbers rise over all its holders.
            links: (0..shards)
                .map(|_| Link {
                    seq: token << FENCE_BITS,
                    ..Link::default()
                })
                .collect(),
            fields: (0..shards).map(|p| fresh_field(shard, p, shards)).collect(),
            on: HashMap::new(),
            unseen: HashMap::new(),
            usage: HashMap::new(),
            queues: BTreeMap::new(),
            resume: HashMap::new(),
            running: BTreeMap::new(),
            asleep: BTreeSet::new(),
            changed: BTreeSet::new(),
            regauge: BTreeSet::new(),
            unsaved: BTreeMap::new(),
            notes: ChangeLog::default(),
            hidden: (0..shards).map(|_| BTreeMap::new()).collect(),
            faults: FaultAttribution::default(),
            limits,
            guarantees,
            start_within: HashMap::new(),
            guarantee_within: f64::MAX,
            arrivals: VecDeque::new(),
            keep: Vec::new(),
            spare_lacking: Vec::new(),
            spare_at: 0,
            spare,
            spot_discount: 1.0,
            boot_ms: 0,
            rooms: Vec::new(),
            started: now,
            fetch_gb_per_s: f64::MAX,
            trade,
            better_after: None,
            book: Book::default(),
            caches: HashMap::new(),
            turn: 0,
            pending: None,
            promises: Vec::new(),
            lacking: Vec::new(),
            passes: 0,
            txn_ops,
            records_at_once: usize::MAX,
            records_version: 0,
            idle_writes: idle_writes.max(1),
            idle_after: 0,
            gang_wait_ms,
            wall_offset_ms,
            gangs: BTreeSet::new(),
            gang_times: BTreeSet::new(),
            zones,
            place_again: false,
            passed_at: now,
            lacked_at: 0,
            placed_at: 0,
            moved_at: 0,
            others_turn: shard,
            services: SupervisedServices::default(),
            fates: Vec::new(),
        }
    }

    /// Learns what is expected of starts, and how fast images come.
    pub fn expect(
        &mut self,
        start_within: &HashMap<String, f64>,
        guarantee_within: f64,
        catalog: &Catalog,
    ) {
        self.start_within.clone_from(start_within);
        self.guarantee_within = guarantee_within;
        let discount = |t: &MachineType| {
            if t.spot_price > 0.0 {
                t.on_demand_price / t.spot_price
            } else {
                1.0
            }
        };
        self.spot_discount = catalog
            .values()
            .map(discount)
            .fold(1.0, f64::max)
            .min(SPARE_DISCOUNT_MOST);
        self.boot_ms = catalog
            .values()
            .map(|t| (t.boot_s * 1000.0) as u64)
            .max()
            .unwrap_or(0);
        self.rooms = catalog.values().map(|t| t.capacity).collect();
        self.fetch_gb_per_s = catalog
            .values()
            .map(|t| t.image_pull_gb_per_s)
            .fold(0.0, f64::max);
        self.caches = catalog
            .values()
            .map(|t| (t.name.clone(), (t.image_cache_gb * 1000.0) as u64))
            .collect();
    }

    /// Notes a live attempt wherever it counts.
    fn enter(&mut self, id: &JobId, task: u32, live: LiveAttempt) {
        let Some(job) = self.jobs.get_mut(id) else {
            return;
        };
        let sum = self.usage.entry(job.team.clone()).or_default();
        *sum = sum.plus(&job.need);
        self.on
            .entry(live.machine.clone())
            .or_default()
            .insert((id.clone(), task));
        self.unseen
            .entry(live.machine.clone())
            .or_default()
            .insert((id.clone(), task));
        self.regauge.insert(job.team.clone());
        // It begins as beyond the guarantee.
        job.over_alike = job.over_alike.filter(|&over| over);
        job.live.insert(task, live);
    }

    /// Takes a live attempt out.
    fn leave(&mut self, id: &JobId, task: u32) -> Option<LiveAttempt> {
        let job = self.jobs.get_mut(id)?;
        let live = job.live.remove(&task)?;
        let sum = self.usage.entry(job.team.clone()).or_default();
        *sum = sum.minus(&job.need);
        self.regauge.insert(job.team.clone());
        if let Some(here) = self.on.get_mut(&live.machine) {
            here.remove(&(id.clone(), task));
            if here.is_empty() {
                self.on.remove(&live.machine);
            }
        }
        self.saw(&live.machine, live.shard, id, task);
        Some(live)
    }

    /// A view has shown an attempt: from now on the machine's own figures
    /// count it.
    fn saw(&mut self, machine: &MachineId, shard: u16, id: &JobId, task: u32) {
        if let Some(list) = self
            .links
            .get_mut(usize::from(shard))
            .and_then(|l| l.uncounted.get_mut(machine))
        {
            list.retain(|(j, t)| (j, *t) != (id, task));
        }
        let Some(here) = self.unseen.get_mut(machine) else {
            return;
        };
        if here.remove(&(id.clone(), task)) {
            if here.is_empty() {
                self.unseen.remove(machine);
            }
            self.retake(machine, shard);
        }
    }

    /// What a machine's owner told, less what no view has shown yet.
    fn retake(&mut self, machine: &MachineId, shard: u16) {
        let Some(field) = self.fields.get_mut(usize::from(shard)) else {
            return;
        };
        let Some(i) = field.find(machine) else { return };
        field.restore(i);
        for (id, _) in self.unseen.get(machine).into_iter().flatten() {
            if let Some(job) = self.jobs.get(id) {
                field.take(i, &job.need, job.spec().map_or("", |s| s.image.as_str()));
                if job.lasting() {
                    field.stays(i);
                }
            }
        }
    }

    /// Brings the indexes up to date after a job changed.
    fn settle(&mut self, id: &JobId, now: u64) {
        let Some(job) = self.jobs.get_mut(id) else {
            return;
        };
        // Guards against a successor that writes each finished chunk of a large job
        // once more, as if it were to go.
        if job.over && !job.unheard {
            job.clear_chunks();
        }
        if job.lasting() {
            self.services.touch(id);
        }
        self.changed.insert(id.clone());
        if job.admission.is_some() {
            self.gangs.insert(id.clone());
        }
        let place: Place = (job.rank(), job.urgency(), job.turn(), id.clone());
        let seniority: Seniority = (job.rank(), job.at(), id.clone());
        if let Some(TaskPlacement {
            team,
            rank,
            urgency,
            turn,
            at,
        }) = job.placed.take()
        {
            let moved = team != job.team || (rank, at) != (seniority.0, seniority.1);
            if moved || (urgency, turn) != (place.1, place.2) {
                drop_place(&mut self.queues, &team, &(rank, urgency, turn, id.clone()));
            }
            if moved {
                drop_place(&mut self.running, &team, &(rank, at, id.clone()));
            }
        }
        job.placed = Some(TaskPlacement {
            team: job.team.clone(),
            rank: place.0,
            urgency: place.1,
            turn: place.2,
            at: seniority.1,
        });
        if job.placeable() && job.not_before == 0 {
            self.queues
                .entry(job.team.clone())
                .or_default()
                .insert(place);
        } else {
            drop_place(&mut self.queues, &job.team, &place);
        }
        if job.live.is_empty() {
            drop_place(&mut self.running, &job.team, &seniority);
        } else {
            self.running
                .entry(job.team.clone())
                .or_default()
                .insert(seniority);
        }
        if job.not_before > 0 {
            self.asleep.insert((job.not_before, id.clone()));
        }
        let to_write = job.chunks.values().any(TaskChunk::unsaved) || job.finished().is_some();
        if to_write {
            self.unsaved.entry(id.clone()).or_insert(now);
        } else {
            self.unsaved.remove(id);
        }
        if job.vanished() {
            self.unsaved.remove(id);
            self.changed.remove(id);
            for (shard, attempt) in std::mem::take(&mut job.told) {
                self.links[usize::from(shard)].wants.remove(&attempt);
            }
            self.notes.erase(id);
            self.jobs.remove(id);
        }
    }

    /// Jobs that this placer knows.
    pub fn known(&self) -> impl Iterator<Item = &JobId> {
        self.jobs.keys()
    }

    /// Takes what the followed keys say of a job of this part's teams; `None`:
    /// it is over.
    pub fn set_job(&mut self, id: &JobId, mirrored: Option<&CachedJob>, now: u64) {
        match mirrored {
            Some(m) => {
                let job = self
                    .jobs
                    .entry(id.clone())
                    .or_insert_with(|| Job::known(now));
                let same_rank = job
                    .record
                    .as_ref()
                    .is_some_and(|record| record.spec.priority == m.record.spec.priority);
                if same_rank && job.version == m.version {
                    return;
                }
                let spec = &m.record.spec;
                let news =
                    job.record.is_none() && job.chunks.is_empty() && now > self.started + SETTLE_MS;
                let guaranteed = self.guarantee_within < f64::MAX
                    && within(&spec.task_resources(), self.guarantees.get(&spec.team));
                if news && (self.start_within.contains_key(&spec.class) || guaranteed) {
                    self.arrivals.push_back((now, m.record.clone()));
                }
                job.team = spec.team.clone();
                job.need = spec.task_resources();
                job.tasks = spec.tasks.min(u64::from(u32::MAX)) as u32;
                job.version = m.version;
                job.record = Some(m.record.clone());
                (job.over, job.unheard) = (false, false);
                job.reason = "not looked at yet";
                self.regauge.insert(spec.team.clone());
                job.inherit(self.gang_wait_ms, now, now + self.wall_offset_ms);
                self.place_again = true;
                if m.record.cancel_requested {
                    self.drop_unrecorded(id);
                }
            }
            None => {
                let Some(job) = self.jobs.get_mut(id) else {
                    return;
                };
                job.unheard = false;
                if !job.over {
                    info!(job = %id, shard = self.shard, live = job.live.len(), "job is over");
                    job.over = true;
                }
            }
        }
        self.settle(id, now);
    }

    /// Takes back attempts of a job that are neither recorded nor in the
    /// transaction under way: no owner has heard of them.
    fn drop_unrecorded(&mut self, id: &JobId) {
        let Some(job) = self.jobs.get(id) else { return };
        info!(job = %id, shard = self.shard, live = job.live.len(), "job is withdrawn");
        let writing = |task: &u32| {
            let chunk = task / CHUNK_TASKS;
            self.pending
                .iter()
                .flat_map(|p| &p.chunks)
                .any(|(j, index, _, _)| j == id && *index == chunk)
        };
        let tasks: Vec<u32> = job
            .live
            .iter()
            .filter(|(t, l)| !job.recorded(**t, l) && !writing(t))
            .map(|(t, _)| *t)
            .collect();
        for task in tasks {
            self.leave(id, task);
            if let Some(job) = self.jobs.get_mut(id) {
                job.touch(task);
            }
        }
    }

    /// Machines of all parts, as they were told.
    pub fn machines(&self) -> impl Iterator<Item = &lemonweir_protocol::peer::MachineView> {
        self.fields.iter().flat_map(PlacementIndex::machines)
    }

    /// Seconds since each part's owner last told of its machines.
    pub fn told(&self, now: u64) -> impl Iterator<Item = (u16, Option<u64>)> {
        let age = move |link: &Link| link.told_at.map(|at| now.saturating_sub(at) / 1_000);
        self.links
            .iter()
            .enumerate()
            .map(move |(shard, link)| (shard as u16, age(link)))
    }

    /// Words of bits and machines that this placer's walks have looked at.
    pub fn looked(&self) -> u64 {
        self.fields.iter().map(PlacementIndex::looked).sum()
    }

    /// The priority that a job is placed with.
    pub(crate) fn rank(&self, id: &JobId) -> Option<Priority> {
        self.jobs.get(id).map(Job::rank)
    }

    /// The counts of one job, if it is this part's, and why it waits.
    pub fn job_note(&self, id: &JobId, now: u64) -> Option<(u64, u64, String)> {
        let job = self.jobs.get(id).filter(|j| !j.over)?;
        let (running, mut reason) = reason_of(job, &self.hidden);
        if let Some((_, zone)) = hidden_of(job, &self.hidden) {
            let (s, over_s) = (
                now.saturating_sub(zone.since) / 1_000,
                zone.over_at.saturating_sub(now).div_ceil(1_000),
            );
            reason = format!(
                "{reason} since {s} s, its attempts there end by proof in at most {over_s} s"
            )
            .into();
        } else if let Some(machines) = job.suspect.filter(|_| job.waiting() > 0) {
            let unit = if job.is(JobKind::Gang) {
                "the gang"
            } else {
                "one task"
            };
            let when = match (
                job.live.is_empty(),
                job.not_before.saturating_sub(now).div_ceil(1_000),
            ) {
                (false, _) => "is being tried now".to_owned(),
                (true, 0) => "is tried again where there is room".to_owned(),
                (true, s) => format!("is tried again in {s} s"),
            };
            reason =
                format!("failed on {machines} machines that run other jobs; {unit} {when}").into();
        }
        if let Some(told) = self.told_short(id, now) {
            reason = format!("{told}{reason}").into();
        }
        Some((
            u64::from(job.done_count),
            u64::from(running),
            reason.into_owned(),
        ))
    }

    /// Zones that their owners can't see.
    pub fn hidden_zones(&self) -> BTreeSet<&str> {
        self.hidden
            .iter()
            .flat_map(|zones| zones.keys().map(String::as_str))
            .collect()
    }

    /// Takes what an owner says of its zones out of sight.
    fn take_hidden(&mut self, shard: u16, told: Vec<PartitionedZone>, now: u64) {
        let Some(before) = self.hidden.get_mut(usize::from(shard)) else {
            return;
        };
        let zone = |h: PartitionedZone| {
            (
                h.zone,
                HiddenZone {
                    since: now.saturating_sub(h.partitioned_for_ms),
                    over_at: now + h.presumed_lost_in_ms,
                },
            )
        };
        let after: BTreeMap<String, HiddenZone> = told.into_iter().map(zone).collect();
        if before.keys().eq(after.keys()) {
            *before = after;
            return;
        }
        let before = std::mem::replace(before, after);
        let after = &self.hidden[usize::from(shard)];
        let turned = |zone: &String| before.contains_key(zone) != after.contains_key(zone);
        // What is told of their jobs changes, and where room may be asked for.
        for (id, job) in &self.jobs {
            if job
                .live
                .values()
                .any(|l| l.shard == shard && turned(&l.zone))
            {
                self.services.touch(id);
                self.changed.insert(id.clone());
            }
        }
        self.place_again = true;
    }
}

/// A zone that its owner can't see.
#[derive(Clone, Copy, Debug)]
struct HiddenZone {
    /// Since when, ms.
    since: u64,
    /// When what ran there is proven over.
    over_at: u64,
}

/// The zone out of sight that an attempt of a job is in.
fn hidden_of<'a>(
    job: &Job,
    hidden: &'a [BTreeMap<String, HiddenZone>],
) -> Option<(&'a String, &'a HiddenZone)> {
    job.live
        .values()
        .find_map(|l| hidden.get(usize::from(l.shard))?.get_key_value(&l.zone))
}

/// Tasks of a job that run, and why the others wait or may not be what they
/// seem.
fn reason_of(job: &Job, hidden: &[BTreeMap<String, HiddenZone>]) -> (u32, Cow<'static, str>) {
    let (running, reason) = job.progress();
    (
        running,
        hidden_of(job, hidden).map_or(Cow::Borrowed(reason), |(zone, _)| {
            format!("zone {zone} out of sight").into()
        }),
    )
}

/// A field that nothing was told of yet.
fn fresh_field(own: u16, shard: u16, shards: u16) -> PlacementIndex {
    PlacementIndex::begins_at(
        usize::from((shard + shards - own % shards.max(1)) % shards.max(1)),
        usize::from(shards),
    )
}

fn drop_place<P: Ord>(index: &mut BTreeMap<String, BTreeSet<P>>, team: &str, place: &P) {
    if let Some(queue) = index.get_mut(team) {
        queue.remove(place);
        if queue.is_empty() {
            index.remove(team);
        }
    }
}

/// What the owners are told of a job, with the part that each is for.
fn wants_of(id: &JobId, job: &Job) -> Vec<(u16, DesiredAttempt)> {
    let image = job.spec().map(|s| s.image.clone()).unwrap_or_default();
    let grace = job.spec().map_or(0, JobSpec::preemption_grace_s);
    let all_known = || {
        job.live.len() as u32 == job.tasks - job.done_count.min(job.tasks)
            && job.live.values().all(|l| l.standing.is_some())
    };
    let go = !job.gang() || job.admitted() && all_known();
    let image_mb = job.spec().map_or(0, JobSpec::image_mb);
    let want = |id: AttemptId, machine: &MachineId| DesiredAttempt {
        id,
        machine: machine.clone(),
        resources: job.need,
        image: image.clone(),
        image_mb,
        may_start: false,
        stop_grace_s: Some(0),
        team: job.team.clone(),
        priority: job.rank(),
        over_quota: true,
        preemption_grace_s: 0,
        runs_until_cancelled: false,
        preemption: PreemptionScope::Nobody,
    };
    let mut wants = Vec::new();
    for (&task, l) in job.live.iter().filter(|(t, l)| job.recorded(**t, l)) {
        let id = AttemptId {
            job: id.clone(),
            task,
            attempt: l.attempt,
        };
        let kill = if job.stopping() { Some(0) } else { l.kill };
        let want = DesiredAttempt {
            may_start: go,
            stop_grace_s: kill,
            over_quota: l.over,
            preemption_grace_s: grace,
            runs_until_cancelled: job.lasting(),
            preemption: l.evict,
            ..want(id, &l.machine)
        };
        wants.push((l.shard, want));
    }
    wants.extend(
        job.ending
            .iter()
            .map(|e| (e.shard, want(e.id.clone(), &e.machine))),
    );
    wants
}

/// What a team that has no limit may take.
const NO_LIMIT: Resources = Resources {
    milli_cpus: u64::MAX,
    milli_gpus: u64::MAX,
    memory_mb: u64::MAX,
};

/// True if a use is within a guarantee; one that names nothing holds nothing.
fn within(used: &Resources, guarantee: Option<&Resources>) -> bool {
    let Some(g) = guarantee.filter(|g| g.milli_cpus > 0 || g.milli_gpus > 0) else {
        return false;
    };
    (g.milli_cpus == 0 || used.milli_cpus <= g.milli_cpus) && (g.milli_gpus == 0 || used.milli_gpus <= g.milli_gpus)
}

/// What a replica that runs already asks of another machine.
fn replica_ask<'a>(
    spec: &'a JobSpec,
    zones: Option<Vec<&'a str>>,
    avoid: &'a [MachineId],
) -> PlacementRequest<'a> {
    PlacementRequest {
        need: spec.task_resources(),
        types: spec.machine_types.as_deref(),
        zones,
        spot: spec.allow_spot,
        lasting: true,
        image: &spec.image,
        image_mb: spec.image_mb(),
        avoid,
        only: None,
        frugal: false,
    }
}

/// Zones in which a job's next task may start, given its other tasks.
fn allowed_zones<'a>(
    spec: &'a JobSpec,
    forced: Option<&'a str>,
    per_zone: &HashMap<String, u32>,
    tasks: u32,
    fields: &'a [PlacementIndex],
) -> Option<Vec<&'a str>> {
    let mut zones: Option<Vec<&str>> = match (forced, &spec.zone) {
        (Some(f), Some(z)) if f != z => return Some(Vec::new()),
        (Some(f), _) => Some(vec![f]),
        (None, Some(z)) => Some(vec![z.as_str()]),
        (None, None) => None,
    };
    if spec.spread && tasks > 1 {
        let most = tasks.div_ceil(2);
        let all: BTreeSet<&str> = fields.iter().flat_map(PlacementIndex::zones).collect();
        let open: Vec<&str> = all
            .into_iter()
            .filter(|z| per_zone.get(*z).copied().unwrap_or(0) < most)
            .collect();
        zones = Some(match zones {
            Some(z) => z.into_iter().filter(|z| open.contains(z)).collect(),
            None => open,
        });
    }
    zones
}
