//! Room on a machine, and who makes way for whom.

use super::*;

impl Owner {
    /// Tells those to leave that an attempt may push out, if that makes room
    /// for it: what is over its guarantee first, then the lowest priority, then
    /// those past their start, and of these the youngest, who lose least.
    pub(super) fn preempt_for(&mut self, id: &AttemptId, now: u64) -> bool {
        let Some(tracked) = self.attempts.get(id) else {
            return false;
        };
        let desired = tracked.desired.clone();
        let Some(m) = self
            .machines
            .get(&desired.machine)
            .filter(|m| m.is_schedulable() && m.incarnation.session() > m.expired_session)
        else {
            return false;
        };
        if self.has_unclaimed_tasks(m) {
            return false;
        }
        // Those who leave already make room for those who wait already.
        let claimed = self
            .attempts_on(&desired.machine)
            .filter(|(_, h)| matches!(h.stage, AttemptStage::AwaitingPreemption(_)))
            .fold(Resources::default(), |s, (_, h)| s.plus(&h.desired.need));
        let staying = self
            .attempts_on(&desired.machine)
            .filter(|(_, h)| {
                matches!(h.stage, AttemptStage::Accepted { .. }) && h.stop_grace_s().is_none()
            })
            .fold(Resources::default(), |s, (_, h)| s.plus(&h.desired.need));
        let mut free = m.capacity.minus(&claimed.plus(&staying));
        let mut candidates: Vec<(bool, Priority, bool, u64, AttemptId, Resources)> = self
            .attempts_on(&desired.machine)
            .filter(|(_, h)| {
                matches!(h.stage, AttemptStage::Accepted { .. }) && h.stop_grace_s().is_none()
            })
            .filter(|(_, h)| {
                desired
                    .evict
                    .allows(&desired.team, desired.rank, &h.desired)
            })
            .map(|(id, h)| {
                (
                    h.desired.over,
                    h.desired.rank,
                    now > h.tracked_since + FRESH_START_MS,
                    h.tracked_since,
                    id.clone(),
                    h.desired.need,
                )
            })
            .collect();
        candidates.sort_unstable();
        let mut victims = Vec::new();
        while !free.covers(&desired.need) {
            let Some((_, _, _, _, victim, room)) = candidates.pop() else {
                return false;
            };
            free = free.plus(&room);
            victims.push(victim);
        }
        self.preempted_attempts += victims.len() as u64;
        for victim in victims {
            if let Some(h) = self.attempts.get_mut(&victim) {
                info!(attempt = %victim, machine = %desired.machine, shard = self.shard, by = %id, "pushed out");
                let grace = if desired.rank == Priority::Production {
                    0
                } else {
                    h.desired.grace
                };
                h.preemption_grace_s = Some(grace);
                h.stop_sent_at = None;
            }
            self.reevaluate_attempt(&victim, now);
        }
        true
    }

    /// True if a task is on the machine that nobody has claimed yet.
    pub(super) fn has_unclaimed_tasks(&self, m: &Machine) -> bool {
        m.tasks
            .iter()
            .any(|(id, seen)| seen.phase != TaskPhase::Exited && !self.attempts.contains_key(id))
    }

    /// Room not taken by the accepted attempts other than this one.
    pub(super) fn free_without(&self, machine: &MachineId, id: &AttemptId) -> Resources {
        let Some(m) = self
            .machines
            .get(machine)
            .filter(|m| !self.has_unclaimed_tasks(m))
        else {
            return Resources::default();
        };
        let taken = self
            .attempts_on(machine)
            .filter(|(other, h)| *other != id && matches!(h.stage, AttemptStage::Accepted { .. }))
            .fold(Resources::default(), |sum, (_, h)| {
                sum.plus(&h.desired.need)
            });
        m.capacity.minus(&taken)
    }

    /// Room of the attempts that each priority may push out, without and with
    /// what teams run beyond their guarantees.
    pub(super) fn preemptible(&self, machine: &MachineId) -> ([Resources; 3], [Resources; 3]) {
        let (mut lower, mut over) = ([Resources::default(); 3], [Resources::default(); 3]);
        for (_, h) in self.attempts_on(machine).filter(|(_, h)| {
            matches!(h.stage, AttemptStage::Accepted { .. }) && h.stop_grace_s().is_none()
        }) {
            for rank in 0..3 {
                let below = h.desired.rank.index() > rank;
                if below && h.desired.over {
                    lower[rank] = lower[rank].plus(&h.desired.need);
                }
                if below
                    || h.desired.over
                        && h.desired.rank.index() == rank
                        && h.desired.rank != Priority::Production
                {
                    over[rank] = over[rank].plus(&h.desired.need);
                }
            }
        }
        (lower, over)
    }

    /// Room not taken by accepted attempts. Tasks that nobody has claimed yet
    /// have unknown needs, so a machine with such a task has no room.
    pub(super) fn free(&self, machine: &MachineId) -> Resources {
        let Some(m) = self
            .machines
            .get(machine)
            .filter(|m| !self.has_unclaimed_tasks(m))
        else {
            return Resources::default();
        };
        self.attempts_on(machine)
            .filter(|(_, h)| {
                matches!(
                    h.stage,
                    AttemptStage::Accepted { .. } | AttemptStage::AwaitingPreemption(_)
                )
            })
            .fold(m.capacity, |free, (_, h)| free.minus(&h.desired.need))
    }

    pub(super) fn occupant_count(&self, machine: &MachineId) -> usize {
        let tracked = self
            .attempts_on(machine)
            .filter(|(_, h)| !matches!(h.stage, AttemptStage::Ended(_)))
            .count();
        let unclaimed = self.machines.get(machine).map_or(0, |m| {
            m.tasks
                .iter()
                .filter(|(id, seen)| {
                    seen.phase != TaskPhase::Exited && !self.attempts.contains_key(id)
                })
                .count()
        });
        tracked + unclaimed
    }

    pub(super) fn service_replicas(&self, machine: &MachineId) -> u16 {
        let count = self
            .attempts_on(machine)
            .filter(|(_, h)| h.desired.lasting && !matches!(h.stage, AttemptStage::Ended(_)))
            .count();
        count.min(usize::from(u16::MAX)) as u16
    }
}
