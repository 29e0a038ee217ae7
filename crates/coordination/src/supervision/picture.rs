//! What operators are shown: services short of replicas, parts, changes of hands.
//! All of it from memory, so that it can be had while the store is away.

use crate::Core;
use crate::supervision::services::RecoveryActivity;
use lemonweir_model::JobKind;
use lemonweir_protocol::supervision::{
    FailoverCompletionRow, FailoverReport, FailoverRow, ShardRow, SupervisionReport,
    UnderReplicatedServiceRow,
};
use lemonweir_storage::failovers::{FailoverCompletion, FailoverRecord, LeadershipChange};
use lemonweir_storage::state_cache::CachedJob;

impl RecoveryActivity {
    fn text(self) -> &'static str {
        match self {
            RecoveryActivity::Nothing => "nothing: all are up",
            RecoveryActivity::Queued => "waits for its turn",
            RecoveryActivity::Resources => "room is made and machines are asked for",
            RecoveryActivity::Limit => "nothing: its team is at its limit",
            RecoveryActivity::Writing => "its starts are being written",
            RecoveryActivity::Starting => "starting, or fetching its image",
            RecoveryActivity::Stopping => "waits for what is being stopped",
            RecoveryActivity::Unheard => "waits for its machines' first reports to the new holder",
            RecoveryActivity::OutOfSight => "waits for a zone out of sight, or its proof",
            RecoveryActivity::Pausing => "failed; the next try comes after a pause",
        }
    }
}

impl Core {
    fn told_by(&self, now: u64) -> (String, Option<u64>) {
        let me = self
            .config
            .members
            .get(usize::from(self.config.me))
            .map(|m| m.host.clone())
            .unwrap_or_default();
        (me, self.cache.revision.map(|_| self.links.store_age(now)))
    }

    /// The state of parts and services. Walks all jobs: for operators' questions.
    pub fn watch(&self, now: u64) -> SupervisionReport {
        let (host, age_ms) = self.told_by(now);
        let rings = &self.cache.failovers;
        let shard = |(shard, home): (u16, &lemonweir_model::settings::ClusterMember)| {
            let holder = self.cache.shard_leaders.get(&shard);
            ShardRow {
                shard,
                preferred_leader: home.host.clone(),
                leader: holder.map(|h| h.host.clone()),
                fencing_token: holder.map(|h| h.fencing_token),
                leader_since_ms: rings.entries_of(shard).last().map(|(r, _)| r.at_ms),
            }
        };
        let shards = (0..).zip(&self.config.members).map(shard).collect();
        let mut watch = SupervisionReport {
            host,
            store_age_ms: age_ms,
            shards,
            services: 0,
            desired: 0,
            running: 0,
            under_replicated: Vec::new(),
        };
        for job in self
            .cache
            .jobs
            .values()
            .filter(|j| j.record.spec.kind == JobKind::Service && !j.record.cancel_requested)
        {
            let row = self.service_row(job, now);
            watch.services += 1;
            watch.desired += u64::from(row.desired);
            watch.running += u64::from(row.running);
            if row.running < row.desired {
                watch.under_replicated.push(row);
            }
        }
        let missing = |r: &UnderReplicatedServiceRow| {
            u64::from(r.desired - r.running) * 1_000_000 / u64::from(r.desired.max(1))
        };
        watch
            .under_replicated
            .sort_by(|a, b| missing(b).cmp(&missing(a)).then_with(|| a.job.cmp(&b.job)));
        watch
    }

    fn service_row(&self, job: &CachedJob, now: u64) -> UnderReplicatedServiceRow {
        let spec = &job.record.spec;
        let shard = Self::team_shard(&self.cache, &self.config, &spec.team);
        let tasks = spec.tasks.min(u64::from(u32::MAX)) as u32;
        let note = self.notes.get(&spec.id);
        let mut row = UnderReplicatedServiceRow {
            job: spec.id.to_string(),
            class: spec.class.clone(),
            team: spec.team.clone(),
            shard,
            desired: tasks,
            half: tasks.div_ceil(2),
            running: note.map_or(0, |n| n.tasks_running).min(tasks),
            zones: Vec::new(),
            under_replicated_s: None,
            below_half_s: None,
            action: "its team's controller knows".into(),
            due_in_s: None,
            blocked_by: note.map(|n| n.wait_reason.clone()).unwrap_or_default(),
            escalations: Vec::new(),
        };
        let Some(own) = self.shards.get(&shard) else {
            return row;
        };
        let Some(service) = own.placer.services.get(&spec.id) else {
            return row;
        };
        let s = |since: u64| now.saturating_sub(since) / 1_000;
        row.running = service.seen.up.min(tasks);
        row.zones = own.placer.zones_up(&spec.id);
        row.under_replicated_s = service.short_since.map(s);
        row.below_half_s = service.below_half_since.map(s);
        row.action = service.seen.doing.text().into();
        row.due_in_s = service.by.map(|by| (by as i64 - now as i64) / 1_000);
        row.blocked_by = own
            .placer
            .job_note(&spec.id, now)
            .map(|(_, _, reason)| reason)
            .unwrap_or_default();
        row.escalations = service
            .tries
            .iter()
            .map(|t| format!("{} s ago: {}", s(t.at), t.what))
            .collect();
        row
    }

    /// The parts' changes of hands, the newest first.
    pub fn failovers(&self, now: u64) -> FailoverReport {
        let (host, age_ms) = self.told_by(now);
        let rings = &self.cache.failovers;
        let rows = |shard: u16| {
            rings
                .entries_of(shard)
                .into_iter()
                .map(move |(record, version)| row_of(shard, record, version))
        };
        let mut changes: Vec<FailoverRow> = rings.shards().into_iter().flat_map(rows).collect();
        changes.sort_by(|a, b| {
            b.at_ms.cmp(&a.at_ms)
                .then_with(|| (b.shard, b.number).cmp(&(a.shard, a.number)))
        });
        FailoverReport {
            host,
            store_age_ms: age_ms,
            failovers: changes,
        }
    }
}

fn row_of(shard: u16, record: &FailoverRecord, version: u64) -> FailoverRow {
    let how = match record.change {
        LeadershipChange::Vacant if record.previous_leader.is_none() => "taken: no holder known",
        LeadershipChange::Vacant => "taken: its holder had given it up, or its hold had run out",
        LeadershipChange::Restarted => "taken by a later life of its holder",
        LeadershipChange::ReturnedHome => "given up for its home, which lives",
        LeadershipChange::Ceded => "left: its machines are not heard",
        LeadershipChange::Other => "in a way that a later version knows",
    };
    let closed = record.completion.clone();
    let token = closed
        .as_ref()
        .map_or(Some(version), |c| c.fencing_token)
        .filter(|_| record.new_leader.is_some());
    FailoverRow {
        shard,
        number: record.number,
        at_ms: record.at_ms,
        previous_leader: record.previous_leader.clone(),
        new_leader: record.new_leader.clone(),
        change: how.into(),
        fencing_token: token,
        up: record.up,
        completion: closed.map(closed_row),
    }
}

fn closed_row(c: FailoverCompletion) -> FailoverCompletionRow {
    let FailoverCompletion {
        reported_by: by,
        state_loaded_ms: read_ms,
        first_start_ms,
        services_restored_ms: whole_ms,
        found,
        gaps,
        unknown,
        fencing_token: _,
        leadership_ms: held_ms,
    } = c;
    FailoverCompletionRow {
        reported_by: by,
        state_loaded_ms: read_ms,
        first_start_ms,
        services_restored_ms: whole_ms,
        leadership_ms: held_ms,
        found,
        gaps,
        unknown,
    }
}
