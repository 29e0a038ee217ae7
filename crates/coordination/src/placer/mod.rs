//! The placer of a shard: keeps the jobs and attempts of the shard's teams, and decides
//! which machines the next attempts run on.
//!
//! Every attempt is written to the store before its machine's owner is told of it, and
//! stays in the desired state until its end has been written too.
//!
//! | module | responsible for |
//! | --- | --- |
//! | `jobs`, `queues`, `quotas` | jobs from the store, the teams' queues, quotas |
//! | `launch_rules` | rules between attempts, asked at every launch |
//! | `placement_pass`, `units`, `placing`, `scoring`, `requests` | next tasks and their machines |
//! | `unmet_demand`, `headroom` | demand for the autoscaler |
//! | `accounting`, `partitions` | usage of machines, partitioned zones |
//! | `desired`, `launch_log`, `owner_channel`, `reconciliation`, `attempt_events` | exchange with the owners |
//! | `write_queue`, `records` | records written to and loaded from the store |
//! | `gangs` | admission and release of gangs |
//! | `rebalancing`, `escalation`, `supervision`, `status` | services, and job status for users |

mod accounting;
mod attempt_events;
mod desired;
mod escalation;
mod gangs;
mod headroom;
mod jobs;
mod launch_log;
mod launch_rules;
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
use lemonweir_storage::last_progress::LastProgress;
use lemonweir_storage::records::JobRecord;

use crate::autoscaler::CapacityDemand;
use crate::change_log::ChangeLog;
use crate::fault_attribution::FaultAttribution;
use crate::image_locality::usage::ImageUsage;
use crate::job::Job;
use crate::placement::PlacementIndex;
use crate::size_rejection::SizeRejection;
use crate::supervision::services::SupervisedServices;
use accounting::TaskKey;
use owner_channel::OwnerChannel;
use partitions::{ZonePartition, empty_index};
use queues::{QueueKey, QuotaOrderKey};
pub use status::PlacerJobStatus;
pub use unmet_demand::{LOW_PRIORITY_START_DEADLINE_MS, LOW_PRIORITY_START_SLACK_MS};
pub use write_queue::ATTEMPT_END_WRITE_DELAY_MS;
use write_queue::InFlightCas;

/// Upper bound of [`Placer::spot_discount`]: headroom on spot instances is at most this many
/// times the usual share, however cheap they are, because spot capacity is scarce.
const MAX_SPOT_DISCOUNT: f64 = 2.0;

/// Whether this controller still leads the shard after a compare-and-swap.
#[derive(Debug, PartialEq, Eq)]
pub enum ShardOwnership {
    /// This controller still leads the shard.
    Held,
    /// Another controller leads the shard.
    Lost,
}

/// Result of a compare-and-swap.
#[derive(Debug)]
pub enum CompareAndSwapOutcome {
    /// Committed at this revision.
    Committed(u64),
    /// Not committed: these keys had a different version.
    Conflict(Vec<String>),
    /// Not committed, or not known whether it was; to be retried.
    Indeterminate,
    /// Not committed: a value or the whole request is too large, so a retry would fail too.
    Rejected,
}

/// An instance provisioned by this placer that no shard view has included yet.
#[derive(Clone, Debug)]
pub struct PendingInstance {
    /// Instance as announced to the owner of its shard, which is also sent its current age.
    pub instance: ProvisionedInstance,
    /// Shard that the instance belongs to.
    pub shard: u16,
    /// When it was provisioned, ms of the monotonic clock.
    pub provisioned_at: u64,
}

/// Configuration of a [`Placer`].
pub struct PlacerConfig {
    /// Quota limits of the teams.
    pub quota_limits: HashMap<String, Resources>,
    /// Guaranteed quotas of the teams.
    pub guaranteed_quotas: HashMap<String, Resources>,
    /// Zones of the deployment.
    pub zones: Vec<String>,
    /// Maximum number of operations in one compare-and-swap.
    pub max_cas_operations: usize,
    /// Share of the expected work that headroom is kept for; 0 disables headroom.
    pub headroom_share: f64,
    /// Store writes per second allowed for low-priority work.
    pub low_priority_writes_per_s: usize,
    /// Time that a launched task of a gang waits on its machine for the others, ms.
    pub gang_wait_ms: u64,
    /// Time of day at zero of the monotonic clock, ms.
    pub wall_clock_offset_ms: u64,
    /// Weights of cost and risk in the placement of service replicas.
    pub placement_weights: ServicePlacementWeights,
}

/// An event of a task, for the supervision of services.
enum ReplicaEvent {
    /// A task was observed running.
    Running {
        job: JobId,
        task: u32,
        /// True if this placer placed it, false if an earlier leader of the shard did.
        placed_here: bool,
    },
    /// An attempt of a service replica has ended.
    Lost { job: JobId, task: u32 },
}

/// Progress of a job as published to the owners' nodes.
#[derive(Clone, PartialEq, Eq)]
struct PublishedProgress {
    done: u32,
    running: u32,
    /// False if it is not known yet whether a task runs.
    known: bool,
    reason: Cow<'static, str>,
}

/// Places the jobs of one shard's teams on the machines of all shards.
pub struct Placer {
    shard: u16,
    fencing_token: u64,
    jobs: BTreeMap<JobId, Job>,
    /// Exchange with the owner of each shard.
    owner_channels: Vec<OwnerChannel>,
    /// Placement index of each shard's machines, as published by the shard's owner.
    indexes: Vec<PlacementIndex>,
    /// Live attempts on each machine, and those that its published usage does not include
    /// yet.
    attempts_by_machine: HashMap<MachineId, BTreeSet<TaskKey>>,
    unobserved_attempts: HashMap<MachineId, BTreeSet<TaskKey>>,
    /// Resources used by each team's live attempts.
    team_usage: HashMap<String, Resources>,
    /// Teams whose loaded attempts exceed their quota limit.
    teams_over_limit: BTreeSet<String>,
    /// Jobs with a task to place, by team.
    queues: BTreeMap<String, BTreeSet<QueueKey>>,
    /// Where the next pass resumes in a queue that is too long for one pass.
    queue_cursors: HashMap<String, Option<QueueKey>>,
    /// Jobs with a live attempt, by team.
    running_by_team: BTreeMap<String, BTreeSet<QuotaOrderKey>>,
    /// Jobs in backoff, by its end, ms.
    backing_off: BTreeSet<(u64, JobId)>,
    /// Jobs whose desired state or progress may have changed since it was published.
    changed_jobs: BTreeSet<JobId>,
    /// Teams whose use of their guaranteed quota may have changed.
    quota_dirty_teams: BTreeSet<String>,
    /// Jobs with unwritten changes, and since when, ms.
    dirty_jobs: BTreeMap<JobId, u64>,
    job_progress: ChangeLog<JobId, PublishedProgress>,
    /// What earlier leaders last knew of jobs with attempts of which nothing has been heard yet.
    inherited_progress: BTreeMap<JobId, LastProgress>,
    /// Partitioned zones, by the shard whose owner can't reach them.
    partitions: Vec<BTreeMap<String, ZonePartition>>,
    /// Attributes failures to jobs or machines.
    fault_attribution: FaultAttribution,
    quota_limits: HashMap<String, Resources>,
    guaranteed_quotas: HashMap<String, Resources>,
    /// Start objectives by job class, seconds.
    start_objectives_s: HashMap<String, f64>,
    /// Start objective of work within a guaranteed quota, seconds; `f64::MAX`: none.
    guaranteed_start_objective_s: f64,
    /// Recently arrived jobs with a start objective, by time of arrival, ms.
    recent_arrivals: VecDeque<(u64, Arc<JobRecord>)>,
    /// Idle machines reserved as headroom for expected work.
    reserved_machines: Vec<MachineId>,
    /// Capacity that expected work lacks, and when it was last planned, ms.
    headroom_demand: Vec<CapacityDemand>,
    headroom_planned_at: u64,
    /// Share of the expected work that headroom is kept for; 0 disables headroom.
    headroom_share: f64,
    /// Highest ratio of on-demand to spot price in the catalog, between 1 and
    /// [`MAX_SPOT_DISCOUNT`].
    spot_discount: f64,
    /// Longest boot time of the catalog's machine types, ms.
    boot_time_ms: u64,
    /// Capacities of the machine types.
    machine_capacities: Vec<Resources>,
    /// When this placer started, ms.
    started_at: u64,
    /// Highest image fetch rate of the catalog's machine types, GB/s.
    fetch_gb_per_s: f64,
    /// Weights of cost and risk in the placement of service replicas.
    placement_weights: ServicePlacementWeights,
    /// Job after which the next search for better places begins.
    rebalance_cursor: Option<JobId>,
    /// Sizes and use of images.
    pub image_usage: ImageUsage,
    /// Image cache size by machine type, MB.
    cache_mb_by_type: HashMap<String, u64>,
    /// Team that the next pass begins with.
    team_cursor: usize,
    in_flight: Option<InFlightCas>,
    /// Provisioned instances that no shard view has included yet.
    pub pending_instances: Vec<PendingInstance>,
    /// Work that found no capacity in the last pass, and headroom that is lacking.
    pub unmet_demand: Vec<CapacityDemand>,
    /// Number of passes so far. Provisioning is planned at most once per pass.
    pub placement_passes: u64,
    max_cas_operations: usize,
    size_rejection: SizeRejection,
    /// Newest record format that every controller can read.
    pub(crate) record_format_version: u32,
    /// Store writes per second allowed for low-priority work, and when the next one is
    /// allowed, ms.
    low_priority_writes_per_s: usize,
    low_priority_writes_resume_at: u64,
    gang_wait_ms: u64,
    /// Time of day at zero of the monotonic clock, ms.
    wall_clock_offset_ms: u64,
    /// Gangs to evaluate because of an event, and deadlines of others, ms.
    gangs_to_evaluate: BTreeSet<JobId>,
    gang_deadlines: BTreeSet<(u64, JobId)>,
    zones: Vec<String>,
    /// A change since the last pass may allow another placement.
    placement_due: bool,
    /// When each of these last happened, ms.
    last_pass_at: u64,
    last_shortage_at: u64,
    last_placement_at: u64,
    last_rebalance_at: u64,
    /// Other shard that a task was last placed in; the next search of other shards starts
    /// after it.
    last_remote_shard: u16,
    /// Services under supervision, and their observed state.
    pub(crate) services: SupervisedServices,
    /// Events not handed to supervision yet, oldest first.
    replica_events: Vec<ReplicaEvent>,
}

impl Placer {
    /// Creates the placer of a shard, one of `shards`, that was acquired at `now` ms.
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
            wall_clock_offset_ms,
            placement_weights,
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
            inherited_progress: BTreeMap::new(),
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
            placement_weights,
            rebalance_cursor: None,
            image_usage: ImageUsage::default(),
            cache_mb_by_type: HashMap::new(),
            team_cursor: 0,
            in_flight: None,
            pending_instances: Vec::new(),
            unmet_demand: Vec::new(),
            placement_passes: 0,
            max_cas_operations,
            size_rejection: SizeRejection::default(),
            record_format_version: 0,
            low_priority_writes_per_s: low_priority_writes_per_s.max(1),
            low_priority_writes_resume_at: 0,
            gang_wait_ms,
            wall_clock_offset_ms,
            gangs_to_evaluate: BTreeSet::new(),
            gang_deadlines: BTreeSet::new(),
            zones,
            placement_due: false,
            last_pass_at: now,
            last_shortage_at: 0,
            last_placement_at: 0,
            last_rebalance_at: 0,
            last_remote_shard: shard,
            services: SupervisedServices::default(),
            replica_events: Vec::new(),
        }
    }

    /// Sets the start objectives, in seconds, by job class and for work within a guaranteed
    /// quota, and what placement needs of the catalog's machine types.
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

    /// When this placer started, ms.
    pub fn started_at(&self) -> u64 {
        self.started_at
    }

    /// IDs of all jobs that this placer keeps.
    pub fn known_jobs(&self) -> impl Iterator<Item = &JobId> {
        self.jobs.keys()
    }

    /// Machines of all shards, as published by their owners.
    pub fn machines(&self) -> impl Iterator<Item = &MachineView> {
        self.indexes.iter().flat_map(PlacementIndex::machines)
    }

    /// Seconds since the last view of each shard's owner arrived; `None`: no view has arrived.
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

    /// Number of bit set words and machines examined by this placer's searches.
    pub fn candidates_examined(&self) -> u64 {
        self.indexes
            .iter()
            .map(PlacementIndex::candidates_examined)
            .sum()
    }

    /// Priority of a job, if this placer keeps it.
    pub(crate) fn priority(&self, id: &JobId) -> Option<Priority> {
        self.jobs.get(id).map(Job::priority)
    }
}
