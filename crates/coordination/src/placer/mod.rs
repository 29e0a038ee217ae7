//! The placer's side of a shard: its teams' jobs, their recorded attempts, and
//! where the next ones run.
//!
//! Every attempt is written to the store before its owner learns of it, and stays
//! in the desired state of this placer until its end has been written too.
//!
//! | module | job |
//! | --- | --- |
//! | `jobs`, `queues`, `quotas`, `over_limit` | jobs from the store, the teams' queues, quotas |
//! | `placement_pass`, `units`, `placing`, `scoring`, `requests` | what is placed next, and where |
//! | `unmet_demand`, `headroom` | what the autoscaler is asked for |
//! | `accounting`, `partitions` | what each machine holds, and which zones are partitioned |
//! | `desired`, `owner_channel`, `reconciliation`, `attempt_events` | exchange with the owners |
//! | `write_queue`, `records` | what is written to the store, and what was found there |
//! | `gangs` | admission of gangs |
//! | `rebalancing`, `escalation`, `supervision`, `status` | services, and what users are told |

mod accounting;
mod attempt_events;
mod desired;
mod escalation;
mod gangs;
mod headroom;
mod jobs;
mod over_limit;
mod owner_channel;
mod partitions;
mod placement_pass;
mod placing;
mod queues;
mod quotas;
mod rebalancing;
mod reconciliation;
mod records;
mod requests;
mod scoring;
mod status;
mod supervision;
mod units;
mod unmet_demand;
mod write_queue;

use std::borrow::Cow;
use std::collections::{BTreeMap, BTreeSet, HashMap, VecDeque};
use std::sync::Arc;

use lemonweir_model::policy::ServicePlacementWeights;
use lemonweir_model::{Catalog, JobId, MachineId, MachineType, Priority, Resources};
use lemonweir_protocol::peer::{MachineView, ProvisionedInstance};
use lemonweir_storage::records::JobRecord;

use crate::autoscaler::CapacityDemand;
use crate::change_log::ChangeLog;
use crate::fault_attribution::FaultAttribution;
use crate::image_locality::usage::ImageUsage;
use crate::job::Job;
use crate::placement::PlacementIndex;
use crate::supervision::services::SupervisedServices;
use accounting::TaskKey;
use owner_channel::OwnerChannel;
use partitions::{ZonePartition, empty_index};
use queues::{QueueKey, QuotaOrderKey};
pub use unmet_demand::{LOW_PRIORITY_START_DEADLINE_MS, LOW_PRIORITY_START_SLACK_MS};
pub use write_queue::ATTEMPT_END_WRITE_DELAY_MS;
use write_queue::InFlightCas;

/// Limit of [`Placer::spot_discount`]: how many times the usual share headroom is
/// kept for on spot instances at most, however little they cost: there are few.
const MAX_SPOT_DISCOUNT: f64 = 2.0;

/// What the end of a compare-and-swap means for the shard.
#[derive(Debug, PartialEq, Eq)]
pub enum ShardOwnership {
    /// This controller still leads the shard.
    Held,
    /// Another controller leads the shard.
    Lost,
}

/// How a compare-and-swap ended.
#[derive(Debug)]
pub enum CompareAndSwapOutcome {
    /// Committed at this revision.
    Committed(u64),
    /// Not committed: these keys had another version.
    Conflict(Vec<String>),
    /// Not committed, or not known to be: try again.
    Indeterminate,
    /// Not committed, and it never will be as it is: a value or the whole is too large.
    Rejected,
}

/// An instance provisioned by this placer that no view has shown yet.
#[derive(Clone, Debug)]
pub struct PendingInstance {
    /// What it is.
    pub instance: ProvisionedInstance,
    /// Its shard.
    pub shard: u16,
    /// When it was provisioned, ms of the steady clock.
    pub provisioned_at: u64,
}

/// What a placer is configured with when it starts.
pub struct PlacerConfig {
    /// Quota limits of the teams.
    pub quota_limits: HashMap<String, Resources>,
    /// Guaranteed quotas of the teams.
    pub guaranteed_quotas: HashMap<String, Resources>,
    /// Zones of the deployment.
    pub zones: Vec<String>,
    /// Operations that one compare-and-swap may hold.
    pub max_cas_operations: usize,
    /// Share of the expected work that headroom is kept for; 0 turns it off.
    pub headroom_share: f64,
    /// Operations a second that low-priority work may write.
    pub low_priority_writes_per_s: usize,
    /// ms for which a gang's task waits on its machine for the others.
    pub gang_wait_ms: u64,
    /// Time of day at the steady clock's zero, ms.
    pub wall_offset_ms: u64,
    /// What a replica's place may cost against what it risks.
    pub trade: ServicePlacementWeights,
}

/// What happened to a replica or task, for the supervision of services.
enum ReplicaEvent {
    /// It runs.
    Running {
        job: JobId,
        task: u32,
        /// This placer started it, not an earlier leader.
        placed_here: bool,
    },
    /// A replica ended.
    Lost { job: JobId, task: u32 },
}

/// Progress of a job as it is published to the owners' nodes.
#[derive(Clone, PartialEq, Eq)]
struct PublishedProgress {
    done: u32,
    running: u32,
    reason: Cow<'static, str>,
}

/// The placer of a shard.
pub struct Placer {
    shard: u16,
    fencing_token: u64,
    jobs: BTreeMap<JobId, Job>,
    /// Exchange with the owner of each shard.
    owner_channels: Vec<OwnerChannel>,
    /// The machines of each shard, as its owner published them.
    indexes: Vec<PlacementIndex>,
    /// Live attempts on each machine, and those of them that no view has shown yet.
    attempts_by_machine: HashMap<MachineId, BTreeSet<TaskKey>>,
    unobserved_attempts: HashMap<MachineId, BTreeSet<TaskKey>>,
    /// What each team's attempts use.
    team_usage: HashMap<String, Resources>,
    /// Teams that the loaded records hold more of than their quota limit.
    teams_over_limit: BTreeSet<String>,
    /// Jobs with a task to place, by team.
    queues: BTreeMap<String, BTreeSet<QueueKey>>,
    /// Where the next pass goes on in a queue that is too long for one.
    queue_cursors: HashMap<String, Option<QueueKey>>,
    /// Jobs with a live attempt, by team.
    running_by_team: BTreeMap<String, BTreeSet<QuotaOrderKey>>,
    /// Jobs that back off until a time, ms.
    backing_off: BTreeSet<(u64, JobId)>,
    /// Jobs whose desired state or progress may have changed since it was published.
    changed_jobs: BTreeSet<JobId>,
    /// Teams whose use of their guaranteed quota may have changed.
    quota_dirty_teams: BTreeSet<String>,
    /// Jobs with something to write, and since when, ms.
    dirty_jobs: BTreeMap<JobId, u64>,
    job_progress: ChangeLog<JobId, PublishedProgress>,
    /// Partitioned zones, by the shard whose owner can't reach them.
    partitions: Vec<BTreeMap<String, ZonePartition>>,
    /// Whether failures are a job's or a machine's fault.
    fault_attribution: FaultAttribution,
    quota_limits: HashMap<String, Resources>,
    guaranteed_quotas: HashMap<String, Resources>,
    /// Seconds within which tasks of a class should start.
    start_objectives_s: HashMap<String, f64>,
    /// Seconds within which work within a guaranteed quota should start.
    guaranteed_start_objective_s: f64,
    /// Jobs with a start objective that arrived of late, with the time, ms.
    recent_arrivals: VecDeque<(u64, Arc<JobRecord>)>,
    /// Empty machines that expected work would use.
    reserved_machines: Vec<MachineId>,
    /// What expected work lacks, and when that was last planned, ms.
    headroom_demand: Vec<CapacityDemand>,
    headroom_planned_at: u64,
    /// Share of the expected work that headroom is kept for.
    headroom_share: f64,
    /// How many times the price of a spot instance an on-demand one costs, within bounds.
    spot_discount: f64,
    /// The longest boot time of the catalog's machine types, ms.
    boot_time_ms: u64,
    /// Capacities of the machine types.
    machine_capacities: Vec<Resources>,
    /// When this placer started, ms.
    started_at: u64,
    /// Usual rate at which images are fetched.
    fetch_gb_per_s: f64,
    /// What a replica's place may cost against what it risks.
    trade: ServicePlacementWeights,
    /// Where the search for better places goes on.
    rebalance_cursor: Option<JobId>,
    /// Sizes and use of images.
    pub image_usage: ImageUsage,
    /// Image caches by machine type, thousandths of a GB.
    cache_mb_by_type: HashMap<String, u64>,
    /// The team that the next pass begins with.
    team_cursor: usize,
    in_flight: Option<InFlightCas>,
    /// Provisioned instances that no view has shown yet.
    pub pending_instances: Vec<PendingInstance>,
    /// What found no capacity in the last pass.
    pub unmet_demand: Vec<CapacityDemand>,
    /// Passes made: unmet demand is worth a new plan after one.
    pub placement_passes: u64,
    max_cas_operations: usize,
    /// Records that a compare-and-swap may hold: few after one was rejected for its size.
    max_records_per_cas: usize,
    /// Newest format of the records that every controller reads.
    pub(crate) record_format_version: u32,
    /// Operations a second that low-priority work may write, and when it may again, ms.
    low_priority_writes_per_s: usize,
    low_priority_writes_resume_at: u64,
    gang_wait_ms: u64,
    /// Time of day at the steady clock's zero, ms.
    wall_offset_ms: u64,
    /// Gangs that something happened to, and when others have to be evaluated, ms.
    gangs_to_evaluate: BTreeSet<JobId>,
    gang_deadlines: BTreeSet<(u64, JobId)>,
    zones: Vec<String>,
    /// Something changed that the next pass should see.
    placement_due: bool,
    /// Times of the last events of their kind, ms.
    last_pass_at: u64,
    last_shortage_at: u64,
    last_placement_at: u64,
    last_rebalance_at: u64,
    /// The other shard that machines were last taken from.
    next_remote_shard: u16,
    /// State of the services.
    pub(crate) services: SupervisedServices,
    /// What supervision should learn of replicas, in order.
    replica_events: Vec<ReplicaEvent>,
}

impl Placer {
    /// A placer that has just acquired its shard, one of `shards`, at `now` ms.
    pub fn new(
        shard: u16,
        fencing_token: u64,
        shards: u16,
        config: PlacerConfig,
        now: u64,
    ) -> Self {
        let PlacerConfig {
            quota_limits,
            guaranteed_quotas,
            zones,
            max_cas_operations,
            headroom_share,
            low_priority_writes_per_s,
            gang_wait_ms,
            wall_offset_ms,
            trade,
        } = config;
        Self {
            shard,
            fencing_token,
            jobs: BTreeMap::new(),
            owner_channels: (0..shards)
                .map(|_| OwnerChannel::new(fencing_token))
                .collect(),
            indexes: (0..shards)
                .map(|other| empty_index(shard, other, shards))
                .collect(),
            attempts_by_machine: HashMap::new(),
            unobserved_attempts: HashMap::new(),
            team_usage: HashMap::new(),
            teams_over_limit: BTreeSet::new(),
            queues: BTreeMap::new(),
            queue_cursors: HashMap::new(),
            running_by_team: BTreeMap::new(),
            backing_off: BTreeSet::new(),
            changed_jobs: BTreeSet::new(),
            quota_dirty_teams: BTreeSet::new(),
            dirty_jobs: BTreeMap::new(),
            job_progress: ChangeLog::default(),
            partitions: (0..shards).map(|_| BTreeMap::new()).collect(),
            fault_attribution: FaultAttribution::default(),
            quota_limits,
            guaranteed_quotas,
            start_objectives_s: HashMap::new(),
            guaranteed_start_objective_s: f64::MAX,
            recent_arrivals: VecDeque::new(),
            reserved_machines: Vec::new(),
            headroom_demand: Vec::new(),
            headroom_planned_at: 0,
            headroom_share,
            spot_discount: 1.0,
            boot_time_ms: 0,
            machine_capacities: Vec::new(),
            started_at: now,
            fetch_gb_per_s: f64::MAX,
            trade,
            rebalance_cursor: None,
            image_usage: ImageUsage::default(),
            cache_mb_by_type: HashMap::new(),
            team_cursor: 0,
            in_flight: None,
            pending_instances: Vec::new(),
            unmet_demand: Vec::new(),
            placement_passes: 0,
            max_cas_operations,
            max_records_per_cas: usize::MAX,
            record_format_version: 0,
            low_priority_writes_per_s: low_priority_writes_per_s.max(1),
            low_priority_writes_resume_at: 0,
            gang_wait_ms,
            wall_offset_ms,
            gangs_to_evaluate: BTreeSet::new(),
            gang_deadlines: BTreeSet::new(),
            zones,
            placement_due: false,
            last_pass_at: now,
            last_shortage_at: 0,
            last_placement_at: 0,
            last_rebalance_at: 0,
            next_remote_shard: shard,
            services: SupervisedServices::default(),
            replica_events: Vec::new(),
        }
    }

    /// Takes the objectives of starts, in seconds by class and for work within a
    /// guaranteed quota, and what the catalog says of machine types.
    pub fn set_start_objectives(
        &mut self,
        start_objectives_s: &HashMap<String, f64>,
        guaranteed_start_objective_s: f64,
        catalog: &Catalog,
    ) {
        self.start_objectives_s.clone_from(start_objectives_s);
        self.guaranteed_start_objective_s = guaranteed_start_objective_s;
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
            .min(MAX_SPOT_DISCOUNT);
        self.boot_time_ms = catalog
            .values()
            .map(|t| (t.boot_s * 1000.0) as u64)
            .max()
            .unwrap_or(0);
        self.machine_capacities = catalog.values().map(|t| t.capacity).collect();
        self.fetch_gb_per_s = catalog
            .values()
            .map(|t| t.image_pull_gb_per_s)
            .fold(0.0, f64::max);
        self.cache_mb_by_type = catalog
            .values()
            .map(|t| (t.name.clone(), (t.image_cache_gb * 1000.0) as u64))
            .collect();
    }

    /// Jobs that this placer knows.
    pub fn known_jobs(&self) -> impl Iterator<Item = &JobId> {
        self.jobs.keys()
    }

    /// Machines of all shards, as their owners published them.
    pub fn machines(&self) -> impl Iterator<Item = &MachineView> {
        self.indexes.iter().flat_map(PlacementIndex::machines)
    }

    /// Seconds since each shard's owner last published its machines.
    pub fn view_ages_s(&self, now: u64) -> impl Iterator<Item = (u16, Option<u64>)> {
        let age = move |channel: &OwnerChannel| {
            channel
                .last_view_at
                .map(|at| now.saturating_sub(at) / 1_000)
        };
        self.owner_channels
            .iter()
            .enumerate()
            .map(move |(shard, channel)| (shard as u16, age(channel)))
    }

    /// Words of bits and machines that this placer's searches have inspected.
    pub fn inspected(&self) -> u64 {
        self.indexes
            .iter()
            .map(PlacementIndex::candidates_examined)
            .sum()
    }

    /// The priority that a job is placed with.
    pub(crate) fn priority(&self, id: &JobId) -> Option<Priority> {
        self.jobs.get(id).map(Job::priority)
    }
}
