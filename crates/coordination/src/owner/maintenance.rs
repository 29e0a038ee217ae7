//! Periodic maintenance of a shard's machines: health, expired leases, provisioning
//! timeouts and scale-in.

use super::scale_in::should_release_once_idle;
use super::*;
use lemonweir_model::constants::{
    MIN_OVERDUE_REPLACEMENTS, OVERDUE_REPLACEMENT_DIVISOR, TICK_MS, UNREADY_AFTER_STORE_SILENCE_MS,
};

/// ms without a newly accepted attempt after which demand counts as low.
const LOW_DEMAND_AFTER_MS: u64 = 40_000;
/// Factor on the time that idle machines are kept, while demand is low or for surplus ones.
const LOW_DEMAND_KEEP_FACTOR: f64 = 0.3;

/// A machine whose provisioning timed out.
#[derive(Debug, PartialEq, Eq, PartialOrd, Ord)]
struct OverdueMachine {
    /// The time that its boot is measured from, ms.
    provisioned_at: u64,
    id: MachineId,
    /// Whether the machine was marked overdue before.
    known: bool,
}

/// Findings of a pass over the machines that are acted on after it.
#[derive(Default)]
struct MaintenanceFindings {
    overdue: Vec<OverdueMachine>,
    expired_leases: Vec<MachineId>,
}

/// Inputs and results of one pass over the machines.
struct MaintenancePass<'a> {
    now: u64,
    store_answer_at: u64,
    shard: u16,
    acquired_at: u64,
    timing: Timing,
    policy: &'a Policy,
    catalog: &'a MachineCatalog,
    boot_times: &'a BootTimes,
    failure_detector: &'a MachineFailureDetector,
    /// Whether machines may be released and counted as overdue.
    may_release: bool,
    /// Whether no attempt was accepted for [`LOW_DEMAND_AFTER_MS`].
    low_demand: bool,
    inherited_leases_expired: bool,
    surplus_idle_machines: HashSet<MachineId>,
    changed_machines: &'a mut BTreeSet<MachineId>,
    scale_in_candidates: &'a mut BTreeSet<MachineId>,
    findings: MaintenanceFindings,
}

/// Health verdict and time estimates for one machine.
struct MachineEstimates {
    verdict: HealthVerdict,
    /// Boot time according to the catalog, ms.
    listed_boot_ms: u64,
    /// Usual boot time as observed, or that of the catalog, ms.
    boot_ms: u64,
    /// Time to replace it, which takes a boot and an image pull, ms.
    rebuild_ms: u64,
}

impl MaintenancePass<'_> {
    fn examine(&mut self, id: &MachineId, m: &mut Machine) {
        if m.release_in_progress || m.release_requested {
            return;
        }
        let estimates = self.estimate(m);
        self.mark_trial_due(id, m);
        self.update_silence(id, m, estimates.verdict);
        self.check_provisioning(id, m, &estimates);
        self.check_leases(id, m);
        self.check_idle(id, m, &estimates);
    }

    fn estimate(&self, m: &Machine) -> MachineEstimates {
        let listed_boot_ms = self.catalog.boot_ms(&m.machine_type);
        let boot_ms = self
            .boot_times
            .typical_ms(&m.machine_type, &m.zone, m.spot, listed_boot_ms);
        let rebuild_ms = boot_ms + m.fetch_ms(self.catalog.fetch_gb_per_s(&m.machine_type));
        MachineEstimates {
            verdict: self.failure_detector.verdict(m, rebuild_ms, self.now),
            listed_boot_ms,
            boot_ms,
            rebuild_ms,
        }
    }

    /// Lets a quarantined machine accept its trial attempt once that is due.
    fn mark_trial_due(&mut self, id: &MachineId, m: &mut Machine) {
        if let Some(quarantine) = m
            .quarantine
            .as_mut()
            .filter(|q| !q.trial_due && self.now >= q.trial_at)
        {
            quarantine.trial_due = true;
            self.changed_machines.insert(id.clone());
        }
    }

    fn update_silence(&mut self, id: &MachineId, m: &mut Machine, verdict: HealthVerdict) {
        let silent = is_silent(verdict);
        if silent != m.silent {
            m.silent = silent;
            self.changed_machines.insert(id.clone());
        }
    }

    /// Finds machines that did not come up in time, and marks for release those whose boot has
    /// failed or that have been silent, unreachable or unconfirmed for too long.
    fn check_provisioning(
        &mut self,
        id: &MachineId,
        m: &mut Machine,
        estimates: &MachineEstimates,
    ) {
        if !self.may_release {
            return;
        }
        // Uses the longer of the two estimates: machines that boot within a second may have
        // been requested together with slower ones.
        let boot_failure_timeout_ms = (estimates.boot_ms.max(estimates.listed_boot_ms) as f64
            * self.policy.provisioning_timeout_multiple)
            as u64;
        let provisioned_at = m
            .provisioned_at
            .max(self.acquired_at.saturating_sub(boot_failure_timeout_ms))
            .max(m.known_since.saturating_sub(boot_failure_timeout_ms));
        let booting = estimates.verdict == HealthVerdict::Booting;
        let overdue_after_ms = || {
            self.boot_times.provisioning_timeout_ms(
                &m.machine_type,
                &m.zone,
                m.spot,
                estimates.listed_boot_ms,
            )
        };
        if booting && self.now > provisioned_at + overdue_after_ms() {
            self.findings.overdue.push(OverdueMachine {
                provisioned_at,
                id: id.clone(),
                known: m.overdue,
            });
        }
        let boot_failed =
            booting && self.now > provisioned_at + boot_failure_timeout_ms + self.timing.lease_ms;
        if boot_failed || estimates.verdict == HealthVerdict::Release {
            let reason = if boot_failed { "boot failed" } else { "silent" };
            info!(machine = %id, shard = self.shard, reason, "machine release requested");
            m.release_requested = true;
            self.changed_machines.insert(id.clone());
        }
    }

    /// Finds leases that must have expired, whichever controller renewed them last: no reply of
    /// that controller can renew them any longer.
    fn check_leases(&mut self, id: &MachineId, m: &mut Machine) {
        if !m.lease_expired(self.store_answer_at, &self.timing) {
            return;
        }
        if (m.incarnation.is_confirmed() || self.inherited_leases_expired)
            && m.expired_session < m.incarnation.session()
        {
            self.findings.expired_leases.push(id.clone());
        } else if m.last_heartbeat_at.is_none() && self.inherited_leases_expired {
            // Unverified heartbeats of this machine may have been answered; the leases that those
            // replies may have renewed have expired too.
            m.incarnation.clear_lease();
            self.findings.expired_leases.push(id.clone());
        }
    }

    /// Makes a machine that was idle for long enough a scale-in candidate. Machines that are
    /// silent or unreachable, or whose zone recovers from a partition, don't count as idle.
    fn check_idle(&mut self, id: &MachineId, m: &mut Machine, estimates: &MachineEstimates) {
        if !self.may_release
            || is_silent(estimates.verdict)
            || estimates.verdict == HealthVerdict::Unreachable
            || self.failure_detector.recovering(m, self.now)
        {
            return;
        }
        let Some(idle_since) = m.idle_since else {
            return;
        };
        let demand_factor = if self.low_demand || self.surplus_idle_machines.contains(id) {
            LOW_DEMAND_KEEP_FACTOR
        } else {
            1.0
        };
        let idle_multiple = if m.spot {
            self.policy.spot_idle_multiple
        } else {
            self.policy.on_demand_idle_multiple
        };
        let keep_ms = (estimates.rebuild_ms as f64 * demand_factor * idle_multiple) as u64;
        if self.now > idle_since + keep_ms || should_release_once_idle(m) {
            m.scale_in_pending = true;
            self.scale_in_candidates.insert(id.clone());
            self.changed_machines.insert(id.clone());
        }
    }
}

fn is_silent(verdict: HealthVerdict) -> bool {
    matches!(verdict, HealthVerdict::Silent | HealthVerdict::Partitioned)
}

impl Owner {
    /// Handles a stall of this process for `stalled_ms`: silence of machines during the
    /// stall proves nothing, and the stall does not count towards pending timeouts.
    pub(crate) fn handle_stall(&mut self, stalled_ms: u64, now: u64) {
        self.failure_detector.handle_stall(now);
        self.resumed_at = now;
        for tracked in self.attempts.values_mut() {
            if let AttemptStage::AwaitingPreemption(since) = &mut tracked.stage {
                *since += stalled_ms;
            }
        }
        for placer in self.placers.values_mut() {
            placer.lease_lost_at = placer.lease_lost_at.map(|at| at + stalled_ms);
        }
        for m in self.machines.values_mut() {
            m.idle_since = m.idle_since.map(|_| now);
            m.incarnation.handle_stall();
        }
    }

    /// Runs periodic maintenance; to be called about once per tick. `store_answer_at` is
    /// the start of the last store read that showed this owner as the shard's leader, ms.
    pub fn tick(&mut self, now: u64, store_answer_at: u64) {
        self.store_answer_at = store_answer_at;
        if now < self.last_tick + TICK_MS {
            return;
        }
        self.last_tick = now;
        self.log_summary(now);
        self.release_orphaned_grants(now);
        self.observe_health(now);
        self.find_last_copies(now);
        let findings = self.examine_machines(now);
        self.keep_last_copies();
        self.mark_overdue(findings.overdue);
        self.expire_leases(findings.expired_leases, now);
        self.apply_inherited_expiry(now);
        self.release_unlisted(now);
    }

    fn observe_health(&mut self, now: u64) {
        self.failure_detector.observe(
            self.machines
                .values()
                .filter(|m| !m.release_requested && !m.is_unconfirmed()),
            now,
        );
    }

    fn inherited_leases_expired(&self) -> bool {
        self.failure_detector
            .inherited_leases_expired(self.store_answer_at)
    }

    fn examine_machines(&mut self, now: u64) -> MaintenanceFindings {
        let mut pass = MaintenancePass {
            now,
            store_answer_at: self.store_answer_at,
            shard: self.shard,
            acquired_at: self.acquired_at,
            timing: self.timing,
            // Without a recent answer of the store this owner may have been superseded, and
            // must not release machines that its successor uses.
            may_release: now <= self.store_answer_at + UNREADY_AFTER_STORE_SILENCE_MS
                && !self.is_resuming(now),
            low_demand: now > self.last_accepted_at + LOW_DEMAND_AFTER_MS,
            inherited_leases_expired: self.inherited_leases_expired(),
            surplus_idle_machines: self.surplus_idle_machines(),
            policy: &self.policy,
            catalog: &self.catalog,
            boot_times: &self.boot_times,
            failure_detector: &self.failure_detector,
            changed_machines: &mut self.changed_machines,
            scale_in_candidates: &mut self.scale_in_candidates,
            findings: MaintenanceFindings::default(),
        };
        for (id, m) in &mut self.machines {
            pass.examine(id, m);
        }
        pass.findings
    }

    /// Returns true while machines may not have sent a heartbeat yet since the last stall of
    /// this process.
    fn is_resuming(&self, now: u64) -> bool {
        self.resumed_at > 0 && now < self.resumed_at + 2 * self.timing.heartbeat_interval_ms
    }

    /// Marks machines whose provisioning timed out as overdue, the most overdue first, so
    /// that replacements are requested. Only a share of the shard's machines is replaced at
    /// a time, so that a wave of late boots does not double the fleet. A machine that comes
    /// up after all is used.
    fn mark_overdue(&mut self, mut overdue: Vec<OverdueMachine>) {
        overdue.sort_unstable();
        let max_replacements =
            MIN_OVERDUE_REPLACEMENTS.max(self.machines.len() / OVERDUE_REPLACEMENT_DIVISOR);
        for machine in overdue
            .into_iter()
            .take(max_replacements)
            .filter(|m| !m.known)
        {
            info!(machine = %machine.id, shard = self.shard, "machine provisioning timed out");
            if let Some(m) = self.machines.get_mut(&machine.id) {
                m.overdue = true;
            }
            self.changed_machines.insert(machine.id);
        }
    }

    fn expire_leases(&mut self, machines: Vec<MachineId>, now: u64) {
        for id in machines {
            if let Some(m) = self.machines.get_mut(&id) {
                info!(machine = %id, shard = self.shard, "worker lease expired");
                m.expired_session = m.incarnation.session();
                m.tasks.clear();
                m.launches_in_response_to = None;
            }
            self.reevaluate(&id, now);
        }
    }

    /// Ends the attempts on machines that never sent a heartbeat to this owner, once every
    /// lease that earlier owners could renew must have expired.
    fn apply_inherited_expiry(&mut self, now: u64) {
        if self.inherited_expiry_applied || !self.inherited_leases_expired() {
            return;
        }
        self.inherited_expiry_applied = true;
        let silent: Vec<MachineId> = self
            .attempts_by_machine
            .keys()
            .filter(|id| {
                self.machines
                    .get(*id)
                    .is_none_or(|m| m.last_heartbeat_at.is_none())
            })
            .cloned()
            .collect();
        for id in silent {
            self.reevaluate(&id, now);
        }
    }
}
