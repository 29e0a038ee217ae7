//! State of a controller's decision logic, and its updates from the state cache.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use crate::dependencies::DependencyGraph;
use crate::links::Links;
use crate::peer_progress::PeerProgress;
use crate::process_stall::StallDetector;
use crate::progress_exchange::ProgressOutbox;
use crate::shard::Shard;
use crate::{Config, HeartbeatId, WorkCounters};
use lemonweir_model::policy::Policy;
use lemonweir_model::{Catalog, JobId, JobSpec, Priority};
use lemonweir_storage::StateCache;
use lemonweir_storage::state_cache::CachedJob;

/// Decision logic of one controller. Performs no I/O; see the [crate documentation](crate).
pub struct Core {
    /// Configuration, constant while the process runs.
    pub config: Config,
    /// Copy of the store's keys that this controller watches.
    pub cache: StateCache,
    /// Machine types; `None` until known.
    pub catalog: Option<Catalog>,
    /// Reachability of the services, the other controllers and the workers of each zone, as
    /// observed by this controller.
    pub links: Links,
    pub(crate) policy: Policy,
    /// The shards that this controller leads, by number.
    pub(crate) shards: BTreeMap<u16, Shard>,
    /// Progress of jobs that other controllers' placers run.
    pub(crate) peer_progress: PeerProgress,
    /// Progress that this controller sends to others.
    pub(crate) progress_outbox: ProgressOutbox,
    /// Highest revision at which a write of this controller is known to be committed.
    pub(crate) committed_revision: u64,
    /// Number of commands to workers that have no result yet.
    pub(crate) commands_in_flight: usize,
    /// Held heartbeats of shards that this controller no longer leads.
    pub(crate) refused_heartbeats: Vec<HeartbeatId>,
    pub(crate) stall: StallDetector,
    pub(crate) dependencies: DependencyGraph,
    /// Zones seen in heartbeats but missing from the settings; each is logged once.
    pub(crate) unknown_zones: BTreeSet<String>,
}

impl Core {
    /// Creates the state of a controller that leads no shards.
    pub fn new(config: Config, policy: Policy) -> Self {
        Self {
            links: Links::new(
                config.own_index,
                config.members.iter().map(|m| m.host.clone()).collect(),
                &config.timing,
                config.wall_clock_offset_ms,
            ),
            config,
            cache: StateCache::default(),
            catalog: None,
            policy,
            shards: BTreeMap::new(),
            peer_progress: PeerProgress::default(),
            progress_outbox: ProgressOutbox::default(),
            committed_revision: 0,
            commands_in_flight: 0,
            refused_heartbeats: Vec::new(),
            stall: StallDetector::default(),
            dependencies: DependencyGraph::default(),
            unknown_zones: BTreeSet::new(),
        }
    }

    /// Applies the machine types of the cloud's catalog.
    pub fn set_catalog(&mut self, catalog: Catalog) {
        for shard in self.shards.values_mut() {
            shard.apply_catalog(&self.config, &catalog);
        }
        self.catalog = Some(catalog);
    }

    /// Handles a refresh of the cache by a read of the store that started at
    /// `read_started_at`, ms. `changed`: the read returned changes.
    pub fn cache_refreshed(&mut self, read_started_at: u64, changed: bool) {
        self.links.record_store_read(read_started_at);
        if let Some(revision) = self.cache.revision {
            self.peer_progress
                .record_store_read(read_started_at, revision);
        }
        if !changed {
            return;
        }
        self.release_lost_shards(read_started_at);
        self.apply_job_changes(read_started_at);
    }

    /// The shard whose placer runs a team's jobs.
    pub(crate) fn team_shard(cache: &StateCache, config: &Config, team: &str) -> u16 {
        cache
            .team_shards
            .get(team)
            .copied()
            .filter(|&shard| usize::from(shard) < config.members.len())
            .unwrap_or_else(|| config.default_shard(team))
    }

    /// Passes changed jobs to the placers that run them.
    fn apply_job_changes(&mut self, now: u64) {
        let mut changed = self.cache.take_changed_jobs();
        changed.extend(self.refresh_inherited_priorities());
        for id in changed {
            if self.cache.jobs.contains_key(&id) {
                self.apply_job(&id, now);
            } else {
                self.remove_job(&id, now);
            }
        }
        self.shards
            .values_mut()
            .for_each(Shard::update_needed_images);
    }

    fn apply_job(&mut self, id: &JobId, now: u64) {
        let Some(job) = self.cache.jobs.get(id) else {
            return;
        };
        for shard in self.shards.values_mut() {
            shard.placer.image_usage.record_job(id, active_spec(job));
        }
        let index = Self::team_shard(&self.cache, &self.config, &job.record.spec.team);
        if let Some(shard) = self.shards.get_mut(&index) {
            let job = with_inherited_priority(job, self.dependencies.inherited_priority(id));
            shard.placer.apply_job(id, Some(&job), now);
        }
    }

    fn remove_job(&mut self, id: &JobId, now: u64) {
        self.peer_progress.remove(id);
        for shard in self.shards.values_mut() {
            shard.placer.image_usage.record_job(id, None);
            shard.placer.apply_job(id, None, now);
        }
    }

    /// True if this controller can serve user requests. One that is isolated from the store, on
    /// its direct and relayed routes, leaves requests to the others; in a store outage that
    /// affects all controllers, each keeps telling users when to retry.
    pub fn ready(&self, now: u64) -> bool {
        self.cache.revision.is_some()
            && self.catalog.is_some()
            && !self.links.isolated_from_store(now)
    }

    /// True if a placement pass or a direct sync is only waiting for its minimum interval, so
    /// that the next tick should come early.
    pub fn needs_short_tick(&self, now: u64) -> bool {
        self.shards.values().any(|shard| {
            shard.placer.placement_is_due(now)
                || shard
                    .peer_channels
                    .iter()
                    .any(super::shard::PeerChannel::waits_for_gap)
        })
    }

    /// Sum of the work counters of all shards led, each counted since the shard was acquired.
    /// Decreases when a shard is released.
    pub fn work_counters(&self) -> WorkCounters {
        self.shards
            .values()
            .fold(WorkCounters::default(), |sum, shard| {
                let counts = shard.owner.placement_counts();
                WorkCounters {
                    candidates_examined: sum.candidates_examined
                        + shard.placer.candidates_examined(),
                    placements_refused: sum.placements_refused + counts.refused,
                    attempts_preempted: sum.attempts_preempted + counts.preempted,
                }
            })
    }

    /// Number of tasks that appeared on machines of the shards led though no placer wanted their
    /// attempts, since the shards were acquired.
    pub fn unexplained_tasks(&self) -> u64 {
        self.shards
            .values()
            .map(|shard| shard.owner.unexplained_tasks())
            .sum()
    }
}

/// The spec of a job, unless its cancellation is requested.
pub(crate) fn active_spec(job: &CachedJob) -> Option<&JobSpec> {
    (!job.record.cancel_requested).then_some(&job.record.spec)
}

/// A job with the priority inherited from the jobs that depend on it, if that is higher.
pub(crate) fn with_inherited_priority(job: &CachedJob, inherited: Option<Priority>) -> CachedJob {
    match inherited.filter(|inherited| *inherited < job.record.spec.priority) {
        Some(priority) => {
            let mut record = (*job.record).clone();
            record.spec.priority = priority;
            CachedJob {
                record: Arc::new(record),
                ..job.clone()
            }
        }
        None => job.clone(),
    }
}
