//! Reports for operators: under-replicated services, shards and failovers. They are built from
//! memory, so they are available during an outage of the store.

use crate::Core;
use crate::supervision::services::{RecoveryActivity, SupervisedService};
use crate::team_usage::TeamUsage;
use lemonweir_model::JobKind;
use lemonweir_model::settings::ClusterMember;
use lemonweir_protocol::supervision::{
    FailoverCompletionRow, FailoverReport, FailoverRow, ShardRow, SupervisionReport, TeamUsageRow,
    UnderReplicatedServiceRow, UsageSide,
};
use lemonweir_storage::failovers::{FailoverCompletion, FailoverRecord, LeadershipChange};
use lemonweir_storage::state_cache::CachedJob;

impl RecoveryActivity {
    /// Returns the description shown to operators.
    fn description(self) -> &'static str {
        match self {
            Self::FullyReplicated => "nothing: all are up",
            Self::Queued => "waits for its turn",
            Self::AwaitingCapacity => "room is made and machines are asked for",
            Self::AtQuotaLimit => "nothing: its team is at its limit",
            Self::RecordingStart => "its starts are being written",
            Self::Starting => "starting, or fetching its image",
            Self::StoppingOthers => "waits for what is being stopped",
            Self::AwaitingHeartbeats => "waits for its machines' first reports to the new holder",
            Self::ZonePartitioned => "waits for a zone out of sight, or its proof",
            Self::BackingOff => "failed; the next try comes after a pause",
        }
    }
}

impl Core {
    /// Returns the host name of this controller and the age of its state cache, ms.
    fn answering_host(&self, now: u64) -> (String, Option<u64>) {
        let host = self
            .config
            .members
            .get(usize::from(self.config.own_index))
            .map(|member| member.host.clone())
            .unwrap_or_default();
        let cache_age_ms = self.cache.revision.map(|_| self.links.store_age(now));
        (host, cache_age_ms)
    }

    /// Reports the state of shards and services. Scans all jobs, so it is only for queries by
    /// operators.
    pub fn supervision_report(&self, now: u64) -> SupervisionReport {
        let (host, age_ms) = self.answering_host(now);
        let mut report = SupervisionReport {
            host,
            store_age_ms: age_ms,
            shards: (0..)
                .zip(&self.config.members)
                .map(|(shard, home)| self.shard_row(shard, home))
                .collect(),
            services: 0,
            desired: 0,
            running: 0,
            under_replicated: Vec::new(),
            team_usage: self.team_usage_rows(),
        };
        for job in
            self.cache.jobs.values().filter(|job| {
                job.record.spec.kind == JobKind::Service && !job.record.cancel_requested
            })
        {
            let row = self.service_row(job, now);
            report.services += 1;
            report.desired += u64::from(row.desired);
            report.running += u64::from(row.running);
            if row.running < row.desired {
                report.under_replicated.push(row);
            }
        }
        let missing_millionths = |row: &UnderReplicatedServiceRow| {
            u64::from(row.desired - row.running) * 1_000_000 / u64::from(row.desired.max(1))
        };
        report.under_replicated.sort_by(|a, b| {
            missing_millionths(b)
                .cmp(&missing_millionths(a))
                .then_with(|| a.job.cmp(&b.job))
        });
        report
    }

    /// Returns the usage of teams with a quota limit, as counted by the placer and the owner of
    /// each shard that this controller leads.
    fn team_usage_rows(&self) -> Vec<TeamUsageRow> {
        let mut rows = Vec::new();
        for (&shard, state) in &self.shards {
            let sides = [
                (UsageSide::Placer, state.placer.usage_by_team()),
                (UsageSide::Owner, state.owner.usage_by_team()),
            ];
            for (side, usage) in sides {
                for (team, TeamUsage { attempts, used }) in usage {
                    let Some(limit) = self.config.quota_limits.get(&team) else {
                        continue;
                    };
                    let limited = |amount: u64| (amount < u64::MAX).then_some(amount);
                    rows.push(TeamUsageRow {
                        team,
                        shard,
                        side,
                        attempts,
                        milli_cpus: used.milli_cpus,
                        milli_gpus: used.milli_gpus,
                        milli_cpus_limit: limited(limit.milli_cpus),
                        milli_gpus_limit: limited(limit.milli_gpus),
                    });
                }
            }
        }
        rows.sort_by(|a, b| (&a.team, a.side, a.shard).cmp(&(&b.team, b.side, b.shard)));
        rows
    }

    fn shard_row(&self, shard: u16, home: &ClusterMember) -> ShardRow {
        let leader = self.cache.shard_leaders.get(&shard);
        let failovers = self.cache.failovers.entries_of(shard);
        ShardRow {
            shard,
            preferred_leader: home.host.clone(),
            leader: leader.map(|l| l.host.clone()),
            fencing_token: leader.map(|l| l.fencing_token),
            leader_since_ms: failovers.last().map(|(record, _)| record.at_ms),
        }
    }

    fn service_row(&self, job: &CachedJob, now: u64) -> UnderReplicatedServiceRow {
        let mut row = self.service_row_from_progress(job);
        let own = self.shards.get(&row.shard);
        let id = &job.record.spec.id;
        let Some((placer, service)) =
            own.and_then(|shard| Some((&shard.placer, shard.placer.services.get(id)?)))
        else {
            return row;
        };
        add_supervision(&mut row, service, now);
        row.zones = placer.running_replicas_by_zone(id);
        row.blocked_by = placer
            .job_status(id, now)
            .map(|status| status.reason)
            .unwrap_or_default();
        row
    }

    /// Builds the row that any controller can: from the service's job and the progress reported
    /// by the controller that places for its team.
    fn service_row_from_progress(&self, job: &CachedJob) -> UnderReplicatedServiceRow {
        let spec = &job.record.spec;
        let desired = spec.tasks.min(u64::from(u32::MAX)) as u32;
        let shard = Self::team_shard(&self.cache, &self.config, &spec.team);
        let progress = self.peer_progress.last_received(shard, &spec.id);
        UnderReplicatedServiceRow {
            job: spec.id.to_string(),
            class: spec.class.clone(),
            team: spec.team.clone(),
            shard,
            desired,
            half: desired.div_ceil(2),
            running: progress
                .as_ref()
                .map_or(0, |(running, _)| *running)
                .min(desired),
            zones: Vec::new(),
            under_replicated_s: None,
            below_half_s: None,
            action: "its team's controller knows".into(),
            due_in_s: None,
            blocked_by: progress.map(|(_, reason)| reason).unwrap_or_default(),
            escalations: Vec::new(),
        }
    }

    /// Reports the failovers of all shards, newest first.
    pub fn failover_report(&self, now: u64) -> FailoverReport {
        let (host, age_ms) = self.answering_host(now);
        let log = &self.cache.failovers;
        let rows = |shard: u16| {
            log.entries_of(shard)
                .into_iter()
                .map(move |(record, version)| failover_row(shard, record, version))
        };
        let mut changes: Vec<FailoverRow> = log.shards().into_iter().flat_map(rows).collect();
        changes.sort_by(|a, b| {
            b.at_ms
                .cmp(&a.at_ms)
                .then_with(|| (b.shard, b.number).cmp(&(a.shard, a.number)))
        });
        FailoverReport {
            host,
            store_age_ms: age_ms,
            failovers: changes,
        }
    }
}

/// Adds to a row what this controller's supervision knows of the service.
fn add_supervision(row: &mut UnderReplicatedServiceRow, service: &SupervisedService, now: u64) {
    let elapsed_s = |since: u64| now.saturating_sub(since) / 1_000;
    row.running = service.observation.running.min(row.desired);
    row.under_replicated_s = service.under_replicated_since.map(elapsed_s);
    row.below_half_s = service.below_half_since.map(elapsed_s);
    row.action = service.observation.activity.description().into();
    row.due_in_s = service.due_at.map(|at| (at as i64 - now as i64) / 1_000);
    row.escalations = service
        .attempts
        .iter()
        .map(|attempt| {
            format!(
                "{} s ago: {}",
                elapsed_s(attempt.at_ms),
                attempt.description
            )
        })
        .collect();
}

fn failover_row(shard: u16, record: &FailoverRecord, version: u64) -> FailoverRow {
    let change = match record.change {
        LeadershipChange::Vacant if record.previous_leader.is_none() => "taken: no holder known",
        LeadershipChange::Vacant => "taken: its holder had given it up, or its hold had run out",
        LeadershipChange::Restarted => "taken by a later life of its holder",
        LeadershipChange::ReturnedHome => "given up for its home, which lives",
        LeadershipChange::Ceded => "left: its machines are not heard",
        LeadershipChange::Other => "in a way that a later version knows",
    };
    let completion = record.completion.clone();
    let token = completion
        .as_ref()
        .map_or(Some(version), |c| c.fencing_token)
        .filter(|_| record.new_leader.is_some());
    FailoverRow {
        shard,
        number: record.number,
        at_ms: record.at_ms,
        previous_leader: record.previous_leader.clone(),
        new_leader: record.new_leader.clone(),
        change: change.into(),
        fencing_token: token,
        up: record.up,
        completion: completion.map(completion_row),
    }
}

fn completion_row(completion: FailoverCompletion) -> FailoverCompletionRow {
    let FailoverCompletion {
        reported_by: reporter,
        state_loaded_ms: loaded_ms,
        first_start_ms,
        services_restored_ms: restored_ms,
        found,
        gaps,
        unknown,
        fencing_token: _,
        leadership_ms: duration_ms,
    } = completion;
    FailoverCompletionRow {
        reported_by: reporter,
        state_loaded_ms: loaded_ms,
        first_start_ms,
        services_restored_ms: restored_ms,
        leadership_ms: duration_ms,
        found,
        gaps,
        unknown,
    }
}
