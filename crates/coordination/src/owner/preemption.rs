//! Room on a machine, and who makes way for whom.

use super::*;

impl Owner {
    /// Tells those to leave that an attempt may push out, if that makes room
    /// for it: what is over its guarantee first, then the lowest priority, then
    /// those past their start, and of these the youngest, who lose least.
    pub(super) fn push_out(&mut self, id: &AttemptId, now: u64) -> bool {
        let Some(held) = self.held.get(id) else {
            return false;
        };
        let want = held.want.clone();
        let Some(m) = self
            .machines
            .get(&want.machine)
            .filter(|m| m.open() && m.worker_session.session() > m.dead_session)
        else {
            return false;
        };
        if self.crowded(m) {
            return false;
        }
        // Those who leave already make room for those who wait already.
        let claimed = self
            .here(&want.machine)
            .filter(|(_, h)| matches!(h.stage, Stage::Waiting(_)))
            .fold(Resources::default(), |s, (_, h)| s.plus(&h.want.resources));
        let staying = self
            .here(&want.machine)
            .filter(|(_, h)| matches!(h.stage, Stage::Accepted { .. }) && h.ending().is_none())
            .fold(Resources::default(), |s, (_, h)| s.plus(&h.want.resources));
        let mut free = m.room.minus(&claimed.plus(&staying));
        let mut candidates: Vec<(bool, Priority, bool, u64, AttemptId, Resources)> = self
            .here(&want.machine)
            .filter(|(_, h)| matches!(h.stage, Stage::Accepted { .. }) && h.ending().is_none())
            .filter(|(_, h)| want.preemption.allows(&want.team, want.priority, &h.want))
            .map(|(id, h)| {
                (
                    h.want.over_quota,
                    h.want.priority,
                    now > h.since + FRESH_START_MS,
                    h.since,
                    id.clone(),
                    h.want.resources,
                )
            })
            .collect();
        candidates.sort_unstable();
        let mut victims = Vec::new();
        while !free.covers(&want.resources) {
            let Some((_, _, _, _, victim, room)) = candidates.pop() else {
                return false;
            };
            free = free.plus(&room);
            victims.push(victim);
        }
        self.pushed_out += victims.len() as u64;
        for victim in victims {
            if let Some(h) = self.held.get_mut(&victim) {
                info!(attempt = %victim, machine = %want.machine, shard = self.shard, by = %id, "pushed out");
                let grace = if want.priority == Priority::Production {
                    0
                } else {
                    h.want.preemption_grace_s
                };
                h.evicted = Some(grace);
                h.killed_at = None;
            }
            self.judge_one(&victim, now);
        }
        true
    }

    /// True if a task is on the machine that nobody has claimed yet.
    pub(super) fn crowded(&self, m: &Machine) -> bool {
        m.tasks
            .iter()
            .any(|(id, seen)| seen.phase != TaskPhase::Exited && !self.held.contains_key(id))
    }

    /// Room not taken by the accepted attempts other than this one.
    pub(super) fn room_without(&self, machine: &MachineId, id: &AttemptId) -> Resources {
        let Some(m) = self.machines.get(machine).filter(|m| !self.crowded(m)) else {
            return Resources::default();
        };
        let taken = self
            .here(machine)
            .filter(|(other, h)| *other != id && matches!(h.stage, Stage::Accepted { .. }))
            .fold(Resources::default(), |sum, (_, h)| sum.plus(&h.want.resources));
        m.room.minus(&taken)
    }

    /// Room of the attempts that each priority may push out, without and with
    /// what teams run beyond their guarantees.
    pub(super) fn soft(&self, machine: &MachineId) -> ([Resources; 3], [Resources; 3]) {
        let (mut lower, mut over) = ([Resources::default(); 3], [Resources::default(); 3]);
        for (_, h) in self
            .here(machine)
            .filter(|(_, h)| matches!(h.stage, Stage::Accepted { .. }) && h.ending().is_none())
        {
            for rank in 0..3 {
                let below = h.want.priority.index() > rank;
                if below && h.want.over_quota {
                    lower[rank] = lower[rank].plus(&h.want.resources);
                }
                if below
                    || h.want.over_quota
                        && h.want.priority.index() == rank
                        && h.want.priority != Priority::Production
                {
                    over[rank] = over[rank].plus(&h.want.resources);
                }
            }
        }
        (lower, over)
    }

    /// Room not taken by accepted attempts. Tasks that nobody has claimed yet
    /// have unknown needs, so a machine with such a task has no room.
    pub(super) fn free(&self, machine: &MachineId) -> Resources {
        let Some(m) = self.machines.get(machine).filter(|m| !self.crowded(m)) else {
            return Resources::default();
        };
        self.here(machine)
            .filter(|(_, h)| matches!(h.stage, Stage::Accepted { .. } | Stage::Waiting(_)))
            .fold(m.room, |free, (_, h)| free.minus(&h.want.resources))
    }

    pub(super) fn busy(&self, machine: &MachineId) -> usize {
        let held = self
            .here(machine)
            .filter(|(_, h)| !matches!(h.stage, Stage::Ended(_)))
            .count();
        let unclaimed = self.machines.get(machine).map_or(0, |m| {
            m.tasks
                .iter()
                .filter(|(id, seen)| seen.phase != TaskPhase::Exited && !self.held.contains_key(id))
                .count()
        });
        held + unclaimed
    }

    pub(super) fn lasting(&self, machine: &MachineId) -> u16 {
        let count = self
            .here(machine)
            .filter(|(_, h)| h.want.runs_until_cancelled && !matches!(h.stage, Stage::Ended(_)))
            .count();
        count.min(usize::from(u16::MAX)) as u16
    }
}
