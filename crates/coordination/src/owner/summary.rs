//! The periodic log line with a shard's utilization.

use super::*;
use crate::team_usage::{TeamUsage, usage_by_team};
use lemonweir_model::constants::SUMMARY_INTERVAL_MS;

impl Owner {
    /// Resources used per team by attempts that were launched or are reported by a machine.
    pub(crate) fn usage_by_team(&self) -> BTreeMap<String, TeamUsage> {
        let launched = self.attempts.values().filter(|tracked| {
            let stage = tracked.stage;
            matches!(stage, AttemptStage::Accepted { .. }) && stage != AttemptStage::NOT_LAUNCHED
        });
        usage_by_team(launched.map(|tracked| {
            let desired = &tracked.desired;
            (desired.team.as_str(), desired.resources)
        }))
    }

    /// Logs the shard's utilization every [`SUMMARY_INTERVAL_MS`].
    pub(super) fn log_summary(&mut self, now: u64) {
        if now < self.summary_logged_at + SUMMARY_INTERVAL_MS {
            return;
        }
        self.summary_logged_at = now;
        self.refresh();
        let (mut up, mut empty, mut spot, mut free, mut free_in_use) =
            (0, 0, 0, Resources::default(), Resources::default());
        for view in self
            .machines
            .keys()
            .filter_map(|id| self.machine_views.get(id))
            .filter(|v| v.registered)
        {
            up += 1;
            empty += usize::from(view.task_count == 0);
            spot += usize::from(view.spot);
            free = free.plus(&view.free);
            if view.task_count > 0 {
                free_in_use = free_in_use.plus(&view.free);
            }
        }
        let gpus = |resources: Resources| resources.milli_gpus / 1000;
        info!(
            shard = self.shard,
            machines = self.machines.len(),
            up,
            spot,
            empty,
            attempts = self.attempts.len(),
            free_gpus = gpus(free),
            free_gpus_in_use = gpus(free_in_use),
            "shard summary"
        );
    }
}
