//! Acquiring and releasing the leases of shards, and handling the results of writes under
//! them.

use tracing::info;

use crate::core::{active_spec, with_inherited_priority};
use crate::owner::Owner;
use crate::placer::{CompareAndSwapOutcome, Placer, PlacerConfig, ShardOwnership};
use crate::shard::Shard;
use crate::{Core, ShardLease};
use lemonweir_model::JobId;
use lemonweir_protocol::peer::Superseded;
use lemonweir_storage::records::{ImageLocationsRecord, TaskChunkRecord};
use lemonweir_storage::state_cache::{LeaderReport, ShardLeader};

impl Core {
    /// Leases of the shards that this controller leads.
    pub fn leases(&self) -> Vec<ShardLease> {
        self.shards.values().map(|shard| shard.lease).collect()
    }

    /// The shard, if this controller still leads it under this lease.
    pub(crate) fn shard_under(&mut self, lease: ShardLease) -> Option<&mut Shard> {
        self.shards
            .get_mut(&lease.shard)
            .filter(|shard| shard.lease == lease)
    }

    /// Starts to lead a shard, given its task records (job, chunk, record, version) and its
    /// image locations.
    pub fn acquire(
        &mut self,
        lease: ShardLease,
        chunks: &[(JobId, u32, TaskChunkRecord, u64)],
        images: Vec<ImageLocationsRecord>,
        now: u64,
    ) {
        let shards = self.config.members.len() as u16;
        let owner = self.new_owner(lease, shards, images, now);
        let placer = self.new_placer(lease, shards, now);
        let mut shard = Shard::new(lease, owner, placer, shards);
        if let Some(catalog) = &self.catalog {
            shard.apply_catalog(&self.config, catalog);
        }
        for (id, chunk, record, version) in chunks {
            shard.placer.load_chunk(id, *chunk, record, *version);
        }
        info!(
            shard = lease.shard,
            fencing_token = lease.token,
            chunks = chunks.len(),
            revision = self.cache.revision,
            "shard acquired"
        );
        self.links
            .record_event(now, format!("shard {} acquired", lease.shard));
        self.load_jobs(&mut shard, now);
        shard.placer.log_loaded_usage();
        if let Some(mut earlier) = self.shards.insert(lease.shard, shard) {
            self.refuse_held_heartbeats(&mut earlier);
        }
        self.inherit_last_progress(lease.shard, now);
        self.begin_failover(lease, now);
    }

    fn new_owner(
        &self,
        lease: ShardLease,
        shards: u16,
        images: Vec<ImageLocationsRecord>,
        now: u64,
    ) -> Owner {
        let mut owner = Owner::new(
            lease.shard,
            lease.token,
            shards,
            self.config.timing,
            self.policy.clone(),
            now,
        );
        owner.restore_image_pages(images);
        owner.limit_held_replies(self.config.sockets.held_answers);
        owner
    }

    fn new_placer(&self, lease: ShardLease, shards: u16, now: u64) -> Placer {
        let config = PlacerConfig {
            quota_limits: self.config.quota_limits.clone(),
            guaranteed_quotas: self.config.guaranteed_quotas.clone(),
            zones: self.config.zones.clone(),
            max_cas_operations: self.config.cas_max_changes,
            headroom_share: self.policy.headroom_per_arrival,
            low_priority_writes_per_s: self.config.low_priority_writes_per_s,
            gang_wait_ms: self.config.gang_wait_ms,
            wall_clock_offset_ms: self.config.wall_clock_offset_ms,
            placement_weights: self.policy.placement_weights,
        };
        Placer::new(lease.shard, lease.token, shards, config, now)
    }

    /// Loads all jobs of the shard's teams, and drops jobs known only from the shard's task
    /// records: they have ended.
    fn load_jobs(&self, shard: &mut Shard, now: u64) {
        let known: Vec<JobId> = shard.placer.known_jobs().cloned().collect();
        for id in &known {
            if !self.cache.jobs.contains_key(id) {
                shard.placer.apply_job(id, None, now);
            }
        }
        for (id, job) in &self.cache.jobs {
            shard.placer.image_usage.record_job(id, active_spec(job));
            let team = &job.record.spec.team;
            if Self::team_shard(&self.cache, &self.config, team) == shard.lease.shard {
                let job = with_inherited_priority(job, self.dependencies.inherited_priority(id));
                shard.placer.apply_job(id, Some(&job), now);
            }
        }
        shard.update_needed_images();
    }

    /// Stops leading a shard.
    pub fn release(&mut self, shard: u16, now: u64) {
        if let Some(mut released) = self.shards.remove(&shard) {
            self.refuse_held_heartbeats(&mut released);
            info!(
                shard,
                fencing_token = released.lease.token,
                "shard released"
            );
            self.links
                .record_event(now, format!("shard {shard} released"));
        }
    }

    /// The workers that wait for an answer of a shard's former owner try another controller.
    fn refuse_held_heartbeats(&mut self, shard: &mut Shard) {
        let held = shard.owner.refuse_held().into_iter();
        self.refused_heartbeats
            .extend(held.map(|reply| reply.heartbeat));
    }

    /// Handles the outcome of a compare-and-swap for a shard. Task records of this controller
    /// that conflicted with other versions have been read again by then
    /// ([`Core::chunk_reread`]). If the outcome shows that the lease is lost, releases the shard
    /// and returns [`ShardOwnership::Lost`]. The outcome for an earlier lease is ignored.
    pub fn cas_completed(
        &mut self,
        lease: ShardLease,
        outcome: CompareAndSwapOutcome,
        now: u64,
    ) -> ShardOwnership {
        let Some(shard) = self.shard_under(lease) else {
            return ShardOwnership::Held;
        };
        let revision = if let CompareAndSwapOutcome::Committed(revision) = outcome {
            revision
        } else {
            0
        };
        let (ownership, final_states) = shard.placer.apply_cas_outcome(outcome, now);
        for (id, phase) in final_states {
            self.cache.record_end(&id, phase, revision, now);
        }
        if ownership == ShardOwnership::Lost {
            self.release(lease.shard, now);
        }
        ownership
    }

    /// Records the version of a shard's task record that was read again after a conflict.
    pub fn chunk_reread(&mut self, lease: ShardLease, job: &JobId, chunk: u32, version: u64) {
        if let Some(shard) = self.shard_under(lease) {
            shard.placer.apply_reread_version(job, chunk, version);
        }
    }

    /// Releases the shards whose leader key in the store names another lease or is missing.
    pub(crate) fn release_lost_shards(&mut self, now: u64) {
        let revision = self.cache.revision.unwrap_or_default();
        let stored_token = |shard: u16| {
            self.cache
                .shard_leaders
                .get(&shard)
                .map(|leader| leader.fencing_token)
        };
        // A cache from before the acquisition can't show the lease yet.
        let lost: Vec<u16> = self
            .shards
            .values()
            .map(|shard| shard.lease)
            .filter(|lease| {
                revision >= lease.token && stored_token(lease.shard) != Some(lease.token)
            })
            .map(|lease| lease.shard)
            .collect();
        for shard in lost {
            self.release(shard, now);
        }
    }

    /// Handles another controller's answer about who leads a shard now. If this controller
    /// leads it under an older fencing token, it releases the shard and redirects the workers.
    /// The answer may be late: what the cache has read since stands.
    pub fn handle_superseded(&mut self, by: Superseded, now: u64) {
        if usize::from(by.shard) >= self.config.members.len() {
            return;
        }
        let leader = ShardLeader {
            host: by.leader_host,
            fencing_token: by.fencing_token,
        };
        let report = self.cache.apply_leader_report(by.shard, leader.clone());
        info!(
            shard = by.shard,
            leader = leader.host,
            fencing_token = leader.fencing_token,
            revision = self.cache.revision,
            ?report,
            "shard leader reported by a peer"
        );
        if report == LeaderReport::Outdated {
            return;
        }
        if self
            .shards
            .get(&by.shard)
            .is_some_and(|shard| shard.lease.token < leader.fencing_token)
        {
            info!(
                shard = by.shard,
                leader = leader.host,
                fencing_token = leader.fencing_token,
                "shard superseded by another controller"
            );
            self.release(by.shard, now);
        }
    }
}
