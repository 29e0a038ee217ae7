//! Free capacity of machines, and the selection of attempts to preempt.

use super::*;

/// ms during which a new attempt is preempted only after older ones of the same priority and
/// quota status: users don't count a start that is undone within 30 s.
const RECENT_START_WINDOW_MS: u64 = 35_000;

/// An attempt that may be preempted; the greatest in this order is preempted first.
#[derive(Debug, PartialEq, Eq, PartialOrd, Ord)]
struct PreemptionCandidate {
    over_quota: bool,
    priority: Priority,
    /// Whether it has been tracked for longer than [`RECENT_START_WINDOW_MS`].
    past_start_window: bool,
    tracked_since: u64,
    id: AttemptId,
    resources: Resources,
}

fn total_resources<'a>(
    attempts: impl Iterator<Item = (&'a AttemptId, &'a TrackedAttempt)>,
) -> Resources {
    attempts.fold(Resources::default(), |sum, (_, a)| {
        sum.plus(&a.desired.resources)
    })
}

impl Owner {
    /// Preempts attempts in favor of one that may preempt, if that frees enough for it:
    /// those over their team's guaranteed quota first, then by lowest priority, then those
    /// not started recently, then the youngest, which lose the least work. Returns false if
    /// preemption can't make it fit.
    pub(super) fn preempt_for(&mut self, id: &AttemptId, now: u64) -> bool {
        let Some(tracked) = self.attempts.get(id) else {
            return false;
        };
        let desired = tracked.desired.clone();
        let Some(victims) = self.select_victims(&desired, now) else {
            return false;
        };
        self.placement_counts.preempted += victims.len() as u64;
        for victim in victims {
            self.preempt(&victim, id, desired.priority);
            self.reevaluate_attempt(&victim, now);
        }
        true
    }

    /// Selects the attempts to preempt for one; `None` if it would not fit even then.
    fn select_victims(&self, desired: &DesiredAttempt, now: u64) -> Option<Vec<AttemptId>> {
        let m = self
            .machines
            .get(&desired.machine)
            .filter(|m| m.is_schedulable() && m.incarnation.session() > m.expired_session)?;
        if self.has_unclaimed_tasks(m) {
            return None;
        }
        // Attempts that are stopping free resources for those that already wait.
        let reserved = total_resources(
            self.attempts_on(&desired.machine)
                .filter(|(_, a)| matches!(a.stage, AttemptStage::AwaitingPreemption(_))),
        );
        let active = total_resources(self.active_attempts_on(&desired.machine));
        let mut free = m.capacity.minus(&reserved.plus(&active));
        let mut candidates: Vec<PreemptionCandidate> = self
            .active_attempts_on(&desired.machine)
            .filter(|(_, a)| {
                desired
                    .preemption
                    .allows(&desired.team, desired.priority, &a.desired)
            })
            .map(|(id, a)| PreemptionCandidate {
                over_quota: a.desired.over_quota,
                priority: a.desired.priority,
                past_start_window: now > a.tracked_since + RECENT_START_WINDOW_MS,
                tracked_since: a.tracked_since,
                id: id.clone(),
                resources: a.desired.resources,
            })
            .collect();
        candidates.sort_unstable();
        let mut victims = Vec::new();
        while !free.covers(&desired.resources) {
            let victim = candidates.pop()?;
            free = free.plus(&victim.resources);
            victims.push(victim.id);
        }
        Some(victims)
    }

    /// Preempts an attempt in favor of `by`, which has this priority: without grace if that is
    /// production, else with the attempt's own grace.
    fn preempt(&mut self, victim: &AttemptId, by: &AttemptId, priority: Priority) {
        let Some(tracked) = self.attempts.get_mut(victim) else {
            return;
        };
        info!(attempt = %victim, machine = %tracked.desired.machine, shard = self.shard, preempted_by = %by, "attempt preempted");
        let grace_s = match priority {
            Priority::Production => 0,
            _ => tracked.desired.preemption_grace_s,
        };
        tracked.preemption_grace_s = Some(grace_s);
        tracked.stop_sent_at = None;
    }

    /// Returns the accepted attempts of a machine that are not stopping.
    fn active_attempts_on(
        &self,
        machine: &MachineId,
    ) -> impl Iterator<Item = (&AttemptId, &TrackedAttempt)> {
        self.attempts_on(machine).filter(|(_, a)| {
            matches!(a.stage, AttemptStage::Accepted { .. }) && a.stop_grace_s().is_none()
        })
    }

    /// Returns true if the machine runs a task that is not a tracked attempt: no placer has
    /// asked for it yet.
    pub(super) fn has_unclaimed_tasks(&self, m: &Machine) -> bool {
        m.tasks
            .iter()
            .any(|(id, task)| task.phase != TaskPhase::Exited && !self.attempts.contains_key(id))
    }

    /// Capacity of a machine not used by accepted attempts other than `id`; none while the
    /// machine has unclaimed tasks.
    pub(super) fn free_excluding(&self, machine: &MachineId, id: &AttemptId) -> Resources {
        let Some(m) = self
            .machines
            .get(machine)
            .filter(|m| !self.has_unclaimed_tasks(m))
        else {
            return Resources::default();
        };
        let taken = self
            .attempts_on(machine)
            .filter(|(other, a)| *other != id && matches!(a.stage, AttemptStage::Accepted { .. }))
            .fold(Resources::default(), |sum, (_, a)| {
                sum.plus(&a.desired.resources)
            });
        m.capacity.minus(&taken)
    }

    /// Resources of the attempts that each priority may preempt, by priority. The first array
    /// has the attempts of lower priority that are over their team's guaranteed quota. The
    /// second has all attempts of lower priority, and those of the same priority that are over
    /// quota, except production.
    pub(super) fn preemptible(&self, machine: &MachineId) -> ([Resources; 3], [Resources; 3]) {
        let (mut over_quota_only, mut all_preemptible) =
            ([Resources::default(); 3], [Resources::default(); 3]);
        for (_, a) in self.active_attempts_on(machine) {
            for priority in 0..3 {
                let below = a.desired.priority.index() > priority;
                if below && a.desired.over_quota {
                    over_quota_only[priority] =
                        over_quota_only[priority].plus(&a.desired.resources);
                }
                if below
                    || a.desired.over_quota
                        && a.desired.priority.index() == priority
                        && a.desired.priority != Priority::Production
                {
                    all_preemptible[priority] =
                        all_preemptible[priority].plus(&a.desired.resources);
                }
            }
        }
        (over_quota_only, all_preemptible)
    }

    /// Capacity of a machine not used by accepted attempts or those that wait for a preemption.
    /// The resources of unclaimed tasks are unknown, so a machine with such a task has none.
    pub(super) fn free(&self, machine: &MachineId) -> Resources {
        let Some(m) = self
            .machines
            .get(machine)
            .filter(|m| !self.has_unclaimed_tasks(m))
        else {
            return Resources::default();
        };
        self.attempts_on(machine)
            .filter(|(_, a)| {
                matches!(
                    a.stage,
                    AttemptStage::Accepted { .. } | AttemptStage::AwaitingPreemption(_)
                )
            })
            .fold(m.capacity, |free, (_, a)| free.minus(&a.desired.resources))
    }

    /// Counts the attempts that have not ended and the unclaimed tasks of a machine.
    pub(super) fn task_count_on(&self, machine: &MachineId) -> usize {
        let attempts = self
            .attempts_on(machine)
            .filter(|(_, a)| !matches!(a.stage, AttemptStage::Ended(_)))
            .count();
        let unclaimed = self.machines.get(machine).map_or(0, |m| {
            m.tasks
                .iter()
                .filter(|(id, task)| {
                    task.phase != TaskPhase::Exited && !self.attempts.contains_key(id)
                })
                .count()
        });
        attempts + unclaimed
    }

    /// Counts the service replicas among the attempts of a machine that have not ended.
    pub(super) fn service_replicas(&self, machine: &MachineId) -> u16 {
        let count = self
            .attempts_on(machine)
            .filter(|(_, a)| {
                a.desired.runs_until_cancelled && !matches!(a.stage, AttemptStage::Ended(_))
            })
            .count();
        count.min(usize::from(u16::MAX)) as u16
    }
}
