//! The state of one controller's decisions, and how it follows the store's keys.

use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::sync::Arc;

use crate::dependencies::DependencyGraph;
use crate::links::Links;
use crate::process_stall::ProcessStall;
use crate::shard::Shard;
use crate::{Config, WorkCounters};
use lemonweir_model::policy::Policy;
use lemonweir_model::{Catalog, JobId, JobSpec, Priority};
use lemonweir_protocol::peer::JobProgress;
use lemonweir_storage::StateCache;
use lemonweir_storage::state_cache::CachedJob;

/// One controller's decisions.
pub struct Core {
    /// Facts that do not change while the process runs.
    pub config: Config,
    /// Copy of the store's keys that this controller follows.
    pub cache: StateCache,
    /// Machine types, once known.
    pub catalog: Option<Catalog>,
    /// Who reaches what.
    pub links: Links,
    pub(crate) policy: Policy,
    /// The shards that this controller leads, by number.
    pub(crate) shards: BTreeMap<u16, Shard>,
    /// Progress of jobs that other controllers' placers run, as they last sent it.
    pub(crate) peer_progress: HashMap<JobId, JobProgress>,
    /// Commands to machines that are under way.
    pub(crate) commands_in_flight: usize,
    pub(crate) stall: ProcessStall,
    pub(crate) dependencies: DependencyGraph,
    /// Zones of heartbeats that the settings don't name; each is logged once.
    pub(crate) unknown_zones: BTreeSet<String>,
}

impl Core {
    /// A controller without shards.
    pub fn new(config: Config, policy: Policy) -> Self {
        Self {
            links: Links::new(
                config.own_index,
                config.members.iter().map(|m| m.host.clone()).collect(),
                &config.timing,
                config.wall_offset_ms,
            ),
            config,
            cache: StateCache::default(),
            catalog: None,
            policy,
            shards: BTreeMap::new(),
            peer_progress: HashMap::new(),
            commands_in_flight: 0,
            stall: ProcessStall::default(),
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

    /// The cache was brought up to date by a reading of the store that began at `began`,
    /// ms. `changed`: that reading brought changes.
    pub fn cache_refreshed(&mut self, began: u64, changed: bool) {
        self.links.record_store_read(began);
        if !changed {
            return;
        }
        self.release_lost_shards(began);
        self.apply_job_changes(began);
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

    /// Hands the changed jobs to the placers that run them.
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

    /// True if this controller knows enough to take requests of users. One without a way
    /// to the store, its own or relayed, leaves them to the others; in an outage for all,
    /// each goes on telling users when to come back.
    pub fn ready(&self, now: u64) -> bool {
        self.cache.revision.is_some()
            && self.catalog.is_some()
            && !self.links.isolated_from_store(now)
    }

    /// True if something only waits for one of the short gaps to pass, so that the next
    /// tick had better come early.
    pub fn needs_short_tick(&self, now: u64) -> bool {
        self.shards.values().any(|shard| {
            shard.placer.placement_is_due(now)
                || shard
                    .peer_channels
                    .iter()
                    .any(super::shard::PeerChannel::waits_for_gap)
        })
    }

    /// Work and judgements of the shards led, counted since each was acquired;
    /// less after a shard was released.
    pub fn work_counters(&self) -> WorkCounters {
        self.shards
            .values()
            .fold(WorkCounters::default(), |sum, shard| {
                let counts = shard.owner.placement_counts();
                WorkCounters {
                    candidates_examined: sum.candidates_examined + shard.placer.inspected(),
                    placements_refused: sum.placements_refused + counts.refused,
                    attempts_preempted: sum.attempts_preempted + counts.preempted,
                }
            })
    }
}

/// What a job uses, unless it is being cancelled.
pub(crate) fn active_spec(job: &CachedJob) -> Option<&JobSpec> {
    (!job.record.cancel_requested).then_some(&job.record.spec)
}

/// A job with the priority of the jobs that depend on it, if that is higher.
pub(crate) fn with_inherited_priority(job: &CachedJob, inherited: Option<Priority>) -> CachedJob {
    match inherited.filter(|inherited| *inherited < job.record.spec.priority) {
        Some(rank) => {
            let mut record = (*job.record).clone();
            record.spec.priority = rank;
            CachedJob {
                record: Arc::new(record),
                ..job.clone()
            }
        }
        None => job.clone(),
    }
}
