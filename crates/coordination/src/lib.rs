//! Decisions. Events and the time go in, effects come out; nothing here does
//! I/O, so the same code runs in the process and in the model tests.
//!
//! A node holds one [`Shard`] by right and others while their home is away.
//! Each part has an owner's side ([`owner`]) and a placer's side ([`placer`]).

pub mod autoscaler;
mod boot_time;
pub mod change_log;
mod config;
pub mod dependencies;
mod effects;
pub mod election;
pub mod fault_attribution;
mod flush;
pub mod gang_admission;
mod heartbeats;
pub mod image_locality;
mod incarnation;
mod job;
pub mod job_status;
pub mod links;
mod machine;
mod machine_health;
pub mod owner;
pub mod placement;
pub mod placer;
mod process_stall;
pub mod query_admission;
pub mod rate_limit;
pub mod socket_shares;
pub mod supervision;
mod worker_lease;

pub use config::{Config, mail_piece_bytes};
pub use effects::{
    Effect, HeartbeatAnswer, ProvisioningResult, ShardLease, WorkCounters, keys_to_reread,
};

use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::sync::Arc;

use tracing::{debug, info};

use crate::autoscaler::CapacityShortages;
use crate::dependencies::DependencyGraph;
use crate::links::Links;
use crate::owner::{Owner, SyncError};
use crate::placer::{CompareAndSwapOutcome, PendingInstance, Placer, PlacerConfig, ShardOwnership};
use crate::process_stall::ProcessStall;
use crate::supervision::failover::Failover;
use lemonweir_model::constants::*;
use lemonweir_model::policy::Policy;
use lemonweir_model::{Catalog, JobId, JobSpec, MachineId, Priority};
use lemonweir_protocol::cloud::{InstanceEntry, ProvisioningRequest};
use lemonweir_protocol::peer::{
    self, JobProgress, ProvisionedInstance, ShardView, Superseded, SyncRequest,
};
use lemonweir_protocol::users::JobPhase;
use lemonweir_storage::StateCache;
use lemonweir_storage::records::{ImageLocationsRecord, StoreMessageKind, TaskChunkRecord};
use lemonweir_storage::state_cache::{CachedJob, ShardLeader};

#[derive(Clone, Default)]
struct PeerChannel {
    last: u64,
    busy: bool,
    dirty: bool,
    /// Direct syncs that failed in a row.
    failures: u32,
    last_direct: u64,
}

struct Shard {
    lease: ShardLease,
    owner: Owner,
    placer: Placer,
    lines: Vec<PeerChannel>,
    last_place: u64,
    /// Rentals under way or to be asked for again, and whether a call is out.
    rentals: Vec<(ProvisioningRequest, bool)>,
    rent_after: u64,
    /// Pass of the placer that the last plan was made for.
    planned: u64,
    bookings: u64,
    shortage: CapacityShortages,
    nudged: BTreeMap<u16, u64>,
    /// What was found since it was taken.
    failover: Failover,
}

impl Shard {
    /// The owner learns which images services use.
    fn know_needs(&mut self) {
        if let Some(images) = self.placer.book.take_needed() {
            self.owner.set_needed(images);
        }
    }

    /// An owner on another node answered, by whatever way.
    ///
    /// Guards against the answer of a former owner that comes after its successor was
    /// told what is wanted: what the one refused the other may have started, so that
    /// it would run twice, or on after its job is told to be withdrawn.
    fn take_view(&mut self, view: ShardView, now: u64) {
        if self
            .placer
            .wants_told_to(view.shard)
            .is_some_and(|token| view.fencing_token < token)
        {
            debug!(
                shard = self.lease.shard,
                from = view.shard,
                token = view.fencing_token,
                "its successor was told since; not taken"
            );
            return;
        }
        self.placer.take_view(view, now);
    }
}

/// What a job uses, unless it shall end.
fn uses(job: &CachedJob) -> Option<&JobSpec> {
    (!job.record.cancel_requested).then_some(&job.record.spec)
}

/// A job with the priority that those who need it give it, if that is higher.
fn with_rank(job: &CachedJob, lent: Option<Priority>) -> CachedJob {
    match lent.filter(|lent| *lent < job.record.spec.priority) {
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

/// One node's decisions.
pub struct Core {
    /// Facts.
    pub config: Config,
    /// The followed keys.
    pub cache: StateCache,
    /// Machine types, once known.
    pub catalog: Option<Catalog>,
    policy: Policy,
    shards: BTreeMap<u16, Shard>,
    notes: HashMap<JobId, JobProgress>,
    /// Calls to machines under way.
    calls: usize,
    /// Who reaches what.
    pub links: Links,
    pause: ProcessStall,
    chains: DependencyGraph,
    /// Zones of reports that the settings don't name, each told once.
    odd_zones: BTreeSet<String>,
}

impl Core {
    /// A node without parts.
    pub fn new(config: Config, policy: Policy) -> Self {
        Self {
            links: Links::new(
                config.me,
                config.members.iter().map(|m| m.host.clone()).collect(),
                &config.timing,
                config.wall_offset_ms,
            ),
            config,
            cache: StateCache::default(),
            catalog: None,
            policy,
            shards: BTreeMap::new(),
            notes: HashMap::new(),
            calls: 0,
            pause: ProcessStall::default(),
            chains: DependencyGraph::default(),
            odd_zones: BTreeSet::new(),
        }
    }

    // ---- parts -------------------------------------------------------------

    /// Parts held, with their tokens.
    pub fn held(&self) -> Vec<ShardLease> {
        self.shards.values().map(|p| p.lease).collect()
    }

    /// Takes a part, with its task records.
    pub fn acquire(
        &mut self,
        lease: ShardLease,
        chunks: &[(JobId, u32, TaskChunkRecord, u64)],
        images: Vec<ImageLocationsRecord>,
        now: u64,
    ) {
        let shards = self.config.members.len() as u16;
        let mut owner = Owner::new(
            lease.shard,
            lease.token,
            shards,
            self.config.timing,
            self.policy.clone(),
            now,
        );
        owner.learn_images(images);
        if let Some(catalog) = &self.catalog {
            owner.set_types(catalog.values());
        }
        let terms = PlacerConfig {
            limits: self.config.limits.clone(),
            guarantees: self.config.guarantees.clone(),
            zones: self.config.zones.clone(),
            txn_ops: self.config.txn_ops,
            spare: self.policy.headroom_per_arrival,
            idle_writes: self.config.idle_writes,
            gang_wait_ms: self.config.gang_wait_ms,
            wall_offset_ms: self.config.wall_offset_ms,
            trade: self.policy.placement_weights,
        };
        let mut placer = Placer::new(lease.shard, lease.token, shards, terms, now);
        if let Some(catalog) = &self.catalog {
            placer.expect(
                &self.config.start_within,
                self.config.guarantee_within,
                catalog,
            );
        }
        for (id, chunk, record, version) in chunks {
            placer.load_chunk(id, *chunk, record, *version);
        }
        info!(
            shard = lease.shard,
            token = lease.token,
            chunks = chunks.len(),
            "part taken"
        );
        self.links.note(now, format!("part {} taken", lease.shard));
        self.shards.insert(
            lease.shard,
            Shard {
                lease,
                owner,
                placer,
                lines: vec![PeerChannel::default(); usize::from(shards)],
                last_place: 0,
                rentals: Vec::new(),
                rent_after: 0,
                planned: 0,
                bookings: 0,
                shortage: CapacityShortages::default(),
                nudged: BTreeMap::new(),
                failover: Failover::default(),
            },
        );
        // All jobs of its teams, and those of its records that are over.
        let (cache, config, chains) = (&self.cache, &self.config, &self.chains);
        if let Some(shard) = self.shards.get_mut(&lease.shard) {
            let known: Vec<JobId> = shard.placer.known().cloned().collect();
            for id in known.iter().filter(|id| !cache.jobs.contains_key(*id)) {
                shard.placer.set_job(id, None, now);
            }
            for (id, job) in &cache.jobs {
                shard.placer.book.note(id, uses(job));
                if Self::team_shard(cache, config, &job.record.spec.team) == lease.shard {
                    shard
                        .placer
                        .set_job(id, Some(&with_rank(job, chains.lent(id))), now);
                }
            }
            shard.know_needs();
        }
        self.begin_takeover(lease, now);
    }

    /// Gives a part up.
    pub fn release(&mut self, shard: u16, now: u64) {
        if self.shards.remove(&shard).is_some() {
            self.links.note(now, format!("part {shard} given up"));
        }
    }

    fn shard(&mut self, lease: ShardLease) -> Option<&mut Shard> {
        self.shards
            .get_mut(&lease.shard)
            .filter(|p| p.lease == lease)
    }

    /// Learns the machine types.
    pub fn set_catalog(&mut self, catalog: Catalog) {
        for shard in self.shards.values_mut() {
            shard.owner.set_types(catalog.values());
            shard.placer.expect(
                &self.config.start_within,
                self.config.guarantee_within,
                &catalog,
            );
        }
        self.catalog = Some(catalog);
    }

    /// The mirror was brought up to date by a reading that began at `began`.
    pub fn refreshed(&mut self, began: u64, changed: bool) {
        self.links.read(began);
        if !changed {
            return;
        }
        let revision = self.cache.revision.unwrap_or_default();
        let lost: Vec<u16> = self
            .shards
            .values()
            .filter(|p| {
                revision >= p.lease.token
                    && self
                        .cache
                        .shard_leaders
                        .get(&p.lease.shard)
                        .is_none_or(|h| h.fencing_token != p.lease.token)
            })
            .map(|p| p.lease.shard)
            .collect();
        for shard in lost {
            self.release(shard, began);
        }
        self.jobs_changed(began);
    }

    fn team_shard(cache: &StateCache, config: &Config, team: &str) -> u16 {
        cache
            .team_shards
            .get(team)
            .copied()
            .filter(|&p| usize::from(p) < config.members.len())
            .unwrap_or_else(|| config.default_shard(team))
    }

    fn jobs_changed(&mut self, now: u64) {
        let mut touched = self.cache.take_changed_jobs();
        touched.extend(self.relend());
        let (cache, config, chains) = (&self.cache, &self.config, &self.chains);
        for id in touched {
            match cache.jobs.get(&id) {
                Some(job) => {
                    for shard in self.shards.values_mut() {
                        shard.placer.book.note(&id, uses(job));
                    }
                    let index = Self::team_shard(cache, config, &job.record.spec.team);
                    if let Some(shard) = self.shards.get_mut(&index) {
                        shard
                            .placer
                            .set_job(&id, Some(&with_rank(job, chains.lent(&id))), now);
                    }
                }
                None => {
                    self.notes.remove(&id);
                    for shard in self.shards.values_mut() {
                        shard.placer.book.note(&id, None);
                        shard.placer.set_job(&id, None, now);
                    }
                }
            }
        }
        self.shards.values_mut().for_each(Shard::know_needs);
    }

    /// Phase and counts of an unfinished job, as far as this node knows.
    pub fn progress(&self, id: &JobId, now: u64) -> (JobPhase, u64, u64, String) {
        let own = self
            .shards
            .values()
            .find_map(|p| p.placer.job_note(id, now));
        let lost = if own.is_none() {
            self.lost_placer(id, now)
        } else {
            None
        };
        let (done, running, reason) = own
            .or_else(|| {
                self.notes
                    .get(id)
                    .map(|n| (u64::from(n.tasks_done), u64::from(n.tasks_running), n.wait_reason.clone()))
            })
            .unwrap_or_else(|| (0, 0, "its team's controller has not taken it up yet".into()));
        (
            if running > 0 {
                JobPhase::Running
            } else {
                JobPhase::Queued
            },
            done,
            running,
            lost.unwrap_or(reason),
        )
    }

    /// Why this node can't know how a job stands: nobody places for its team, or
    /// who does can't be reached.
    fn lost_placer(&self, id: &JobId, now: u64) -> Option<String> {
        let team = &self.cache.jobs.get(id)?.record.spec.team;
        let Some(holder) =
            self.cache
                .shard_leaders
                .get(&Self::team_shard(&self.cache, &self.config, team))
        else {
            return Some(format!(
                "no controller places for {team}; another takes over within seconds"
            ));
        };
        let since = self.links.lost_since(&holder.host)?;
        Some(format!(
            "{}, which places for {team}, can't be reached from here since {} s",
            holder.host,
            now.saturating_sub(since) / 1_000
        ))
    }

    // ---- events ------------------------------------------------------------

    /// A placer on another node says what it wants.
    pub fn sync_in(&mut self, sync: &SyncRequest, now: u64) -> Result<ShardView, SyncError> {
        self.awake(now);
        // Guards against a controller that the store refuses alone and that
        // goes on answering its workers, while its successor waits for them.
        if let Some(holder) = self
            .cache
            .shard_leaders
            .get(&sync.from_shard)
            .filter(|h| h.fencing_token > sync.from_fencing_token)
        {
            let (token, host) = (holder.fencing_token, holder.host.clone());
            return Err(SyncError::Superseded(Superseded {
                version: PEER_VERSION,
                shard: sync.from_shard,
                fencing_token: token,
                leader_host: host,
            }));
        }
        for note in &sync.progress {
            if self.cache.jobs.contains_key(&note.job) {
                self.notes.insert(note.job.clone(), note.clone());
            }
        }
        self.sync_to(sync, SYNC_BYTES, now)
    }

    fn sync_to(
        &mut self,
        sync: &SyncRequest,
        room: usize,
        now: u64,
    ) -> Result<ShardView, SyncError> {
        self.links.other_heard(sync.store_age_ms, now);
        let store_age_ms = self.links.store_age(now);
        let shard = self.shards.get_mut(&sync.to_shard).ok_or(SyncError::Token)?;
        shard.owner.sync(sync, room, now).map(|view| ShardView {
            store_age_ms,
            ..view
        })
    }

    /// Another node says who holds a part now; if that is ours by an older
    /// token, it is given up, and its workers are sent there.
    pub fn superseded(&mut self, by: Superseded, now: u64) {
        let known = self.cache.shard_leaders.get(&by.shard).map_or(0, |h| h.fencing_token);
        if by.fencing_token <= known || usize::from(by.shard) >= self.config.members.len() {
            return;
        }
        if self
            .shards
            .get(&by.shard)
            .is_some_and(|p| p.lease.token < by.fencing_token)
        {
            info!(
                shard = by.shard,
                host = by.leader_host,
                "another controller has taken the part"
            );
            self.release(by.shard, now);
        }
        self.cache.shard_leaders.insert(
            by.shard,
            ShardLeader {
                host: by.leader_host,
                fencing_token: by.fencing_token,
            },
        );
    }

    /// An owner on another node answered, or did not.
    pub fn sync_done(&mut self, lease: ShardLease, to: u16, view: Option<ShardView>, now: u64) {
        if let Some(view) = &view {
            self.links.other_heard(view.store_age_ms, now);
        }
        if let Some(shard) = self.shard(lease) {
            let line = &mut shard.lines[usize::from(to)];
            line.busy = false;
            match view {
                Some(view) => {
                    line.failures = 0;
                    shard.take_view(view, now);
                }
                None => {
                    shard.placer.lost(to);
                    line.failures += 1;
                    if line.failures == MAIL_AFTER_FAILURES {
                        info!(
                            shard = lease.shard,
                            to, "no direct way to the owner; syncing through the store"
                        );
                    }
                }
            }
        }
    }

    /// Takes peer messages that came through the store. Guards against two
    /// controllers that can't reach each other: without this way a stop order
    /// for a withdrawn job would wait for the end of the cut.
    pub fn take_mail(&mut self, now: u64) -> Vec<Effect> {
        let mut effects = Vec::new();
        for (line, bytes) in self.cache.take_messages() {
            if !self.shards.contains_key(&line.to_shard) {
                continue;
            }
            match line.kind {
                StoreMessageKind::Sync => match peer::decode::<SyncRequest>(&bytes) {
                    Ok(sync) if sync.to_shard == line.to_shard => {
                        match self.sync_to(&sync, self.config.mail_bytes, now) {
                            Ok(view) => effects.push(Effect::MailView(sync.from_shard, view)),
                            Err(refusal) => {
                                debug!(from = sync.from_shard, to = sync.to_shard, %refusal, "mailed sync not taken")
                            }
                        }
                    }
                    _ => info!(from = line.from_shard, to = line.to_shard, "mailed sync not understood"),
                },
                StoreMessageKind::View => {
                    match (
                        peer::decode::<ShardView>(&bytes),
                        self.shards.get_mut(&line.to_shard),
                    ) {
                        (Ok(view), Some(shard)) => shard.take_view(view, now),
                        _ => info!(from = line.from_shard, to = line.to_shard, "mailed view not understood"),
                    }
                }
            }
        }
        effects
    }

    /// An owner on another node has news for one of our parts.
    pub fn nudged(&mut self, shard: u16, from: u16) {
        if let Some(line) = self
            .shards
            .get_mut(&shard)
            .and_then(|p| p.lines.get_mut(usize::from(from)))
        {
            line.dirty = true;
        }
    }

    /// A transaction ended; keys of ours that met other versions have been read
    /// again. Tells whether the part is lost.
    pub fn cas_done(
        &mut self,
        lease: ShardLease,
        outcome: CompareAndSwapOutcome,
        now: u64,
    ) -> ShardOwnership {
        let Some(shard) = self.shard(lease) else {
            return ShardOwnership::Fine;
        };
        let revision = if let CompareAndSwapOutcome::Done(revision) = outcome {
            revision
        } else {
            0
        };
        let (verdict, ends) = shard.placer.cas_done(outcome, now);
        for (id, phase) in ends {
            self.cache.record_end(&id, phase, revision, now);
        }
        if verdict == ShardOwnership::Lost {
            self.release(lease.shard, now);
        }
        verdict
    }

    /// A key of ours was read again.
    pub fn reread(&mut self, lease: ShardLease, job: &JobId, chunk: u32, version: u64) {
        if let Some(shard) = self.shard(lease) {
            shard.placer.reread(job, chunk, version);
        }
    }

    /// A rental ended.
    pub fn rented(
        &mut self,
        lease: ShardLease,
        rental: &ProvisioningRequest,
        result: ProvisioningResult,
        now: u64,
    ) {
        let place = |id: &MachineId| self.config.shard_of(&rental.zone, id);
        let promises: Vec<PendingInstance> = match &result {
            ProvisioningResult::Rented(machines) => machines
                .iter()
                .map(|id| PendingInstance {
                    shard: place(id),
                    at: now,
                    rented: ProvisionedInstance {
                        machine: id.clone(),
                        machine_type: rental.machine_type.clone(),
                        zone: rental.zone.clone(),
                        spot: rental.spot,
                        age_ms: 0,
                    },
                })
                .collect(),
            _ => Vec::new(),
        };
        let Some(shard) = self.shard(lease) else {
            return;
        };
        let under_way = shard
            .rentals
            .iter()
            .position(|(r, _)| r.request_id == rental.request_id);
        if let Some(i) = under_way {
            match &result {
                ProvisioningResult::Again => shard.rentals[i].1 = false,
                _ => drop(shard.rentals.remove(i)),
            }
        }
        match result {
            ProvisioningResult::Rented(machines) => {
                info!(
                    shard = lease.shard,
                    count = machines.len(),
                    asked = rental.count,
                    kind = rental.machine_type,
                    zone = rental.zone,
                    spot = rental.spot,
                    "machines rented"
                );
                if (machines.len() as u32) < rental.count {
                    shard.shortage.note(rental, now);
                }
                for p in promises {
                    shard.lines[usize::from(p.shard)].dirty = true;
                    shard.placer.promises.push(p);
                }
            }
            ProvisioningResult::NoCapacity => {
                info!(
                    shard = lease.shard,
                    kind = rental.machine_type,
                    zone = rental.zone,
                    spot = rental.spot,
                    "no capacity"
                );
                shard.shortage.note(rental, now);
            }
            ProvisioningResult::Again => shard.rent_after = now + CLOUD_TROUBLE_MS,
        }
    }

    /// A release ended.
    pub fn released(&mut self, lease: ShardLease, machines: &[MachineId], done: bool, now: u64) {
        if let Some(shard) = self.shard(lease) {
            shard.owner.released(machines, done, now);
        }
    }

    /// The rental list was read.
    pub fn listed(&mut self, entries: &[InstanceEntry], now: u64) {
        let mut by_shard: BTreeMap<u16, Vec<InstanceEntry>> = BTreeMap::new();
        for e in entries {
            by_shard
                .entry(self.config.shard_of(&e.zone, &e.id))
                .or_default()
                .push(e.clone());
        }
        for (index, shard) in &mut self.shards {
            shard
                .owner
                .listed(by_shard.get(index).map_or(&[], Vec::as_slice), now);
        }
    }

    /// True when this node knows enough to take requests. One without a way to
    /// the store, its own or carried, leaves them to the others; in an outage
    /// for all, each goes on telling users when to come back.
    pub fn ready(&self, now: u64) -> bool {
        self.cache.revision.is_some() && self.catalog.is_some() && !self.links.without_word(now)
    }

    /// True if an owner is told through the store: news of it come that way too.
    pub fn mailing(&self) -> bool {
        self.shards
            .values()
            .any(|p| p.lines.iter().any(|l| l.failures >= MAIL_AFTER_FAILURES))
    }

    /// True if something only waits for one of the short gaps to pass.
    pub fn hurried(&self, now: u64) -> bool {
        self.shards.values().any(|p| {
            p.placer.wants_pass(now)
                || p.lines
                    .iter()
                    .any(|l| l.dirty && !l.busy && l.failures < MAIL_AFTER_FAILURES)
        })
    }

    /// Work and judgements of the parts held, counted since each was taken;
    /// less after a part was given up.
    pub fn tally(&self) -> WorkCounters {
        self.shards
            .values()
            .fold(WorkCounters::default(), |sum, shard| {
                let (refused, pushed_out) = shard.owner.judged();
                WorkCounters {
                    looked: sum.looked + shard.placer.looked(),
                    refused: sum.refused + refused,
                    pushed_out: sum.pushed_out + pushed_out,
                }
            })
    }
}
