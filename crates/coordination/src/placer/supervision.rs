//! How this placer's services stand, as the watch sees it.

use super::placing::{AT_LIMIT, NO_ROOM};
use super::*;
use crate::supervision::failover::Failover;
use crate::supervision::services::{RecoveryActivity, ServiceObservation};

impl Placer {
    /// Looks at the services that something happened to.
    pub(crate) fn look(&mut self, failover: &mut Failover, now: u64) {
        for fate in std::mem::take(&mut self.fates) {
            match fate {
                TaskFate::Ran(id, task, ours) => {
                    let class = self
                        .jobs
                        .get(&id)
                        .filter(|j| j.lasting())
                        .and_then(Job::spec)
                        .map(|s| s.class.as_str());
                    failover.ran(&id, task, class, ours, now);
                }
                TaskFate::Lost(id, task) => failover.lost(&id, task, now),
            }
        }
        for id in self.services.take_touched() {
            let seen = self.jobs.get(&id).and_then(|job| self.seen(job, now));
            let suspect = self.jobs.get(&id).is_some_and(|j| j.suspect.is_some());
            if suspect || seen.as_ref().is_none_or(|s| s.up >= s.promised) {
                failover.done(&id, now);
            }
            self.services.set(&id, seen, now);
        }
    }

    /// How a service stands; `None`: it is none, or nothing of it shall run.
    fn seen(&self, job: &Job, now: u64) -> Option<ServiceObservation> {
        let spec = job.spec().filter(|_| job.lasting() && !job.stopping())?;
        let mut up = 0;
        let (mut unheard, mut unwritten, mut stopping, mut hidden) =
            (false, false, false, None::<u64>);
        for (&task, l) in &job.live {
            if let Some(zone) = self
                .hidden
                .get(usize::from(l.shard))
                .and_then(|zones| zones.get(&l.zone))
            {
                hidden = hidden.max(Some(zone.over_at));
            }
            match (l.kill, l.standing) {
                (Some(_), _) => stopping = true,
                (None, Some(AttemptState::Running)) => up += 1,
                (None, None) if l.since == 0 => unheard = true,
                (None, None) => unwritten |= !job.recorded(task, l),
                (None, Some(_)) => {}
            }
        }
        let fetch = self.fetch_ms(spec);
        let (doing, within) = if up >= job.tasks {
            (RecoveryActivity::Nothing, None)
        } else if job.waiting() > 0 {
            match job.reason {
                _ if job.suspect.is_some() || job.failures > 1 && job.not_before > now => {
                    (RecoveryActivity::Pausing, None)
                }
                NO_ROOM => (
                    RecoveryActivity::Resources,
                    Some(self.boot_ms + self.boot_ms / 2 + fetch + STEP_MS),
                ),
                AT_LIMIT => (RecoveryActivity::Limit, None),
                _ => (RecoveryActivity::Queued, Some(STEP_MS)),
            }
        } else if let Some(over_at) = hidden {
            (
                RecoveryActivity::OutOfSight,
                Some(over_at.saturating_sub(now)),
            )
        } else if unheard {
            (RecoveryActivity::Unheard, None)
        } else if unwritten {
            (RecoveryActivity::Writing, Some(STEP_MS))
        } else if stopping {
            (RecoveryActivity::Stopping, Some(EVICT_WAIT_MS + STEP_MS))
        } else {
            (RecoveryActivity::Starting, Some(fetch + STEP_MS))
        };
        Some(ServiceObservation {
            promised: job.tasks,
            up,
            doing,
            within,
        })
    }

    /// Replicas of a service that are up, by zone.
    pub(crate) fn zones_up(&self, id: &JobId) -> Vec<(String, u32)> {
        let mut zones: BTreeMap<&String, u32> = BTreeMap::new();
        let live = self.jobs.get(id).into_iter().flat_map(|j| j.live.values());
        for l in live.filter(|l| l.kill.is_none() && l.standing == Some(AttemptState::Running)) {
            *zones.entry(&l.zone).or_default() += 1;
        }
        zones
            .into_iter()
            .map(|(zone, n)| (zone.clone(), n))
            .collect()
    }

    /// True if starts wait to be written, of other than idle work: that may wait
    /// for hours.
    pub(crate) fn starts_wait(&self) -> bool {
        let mut jobs = self.unsaved.keys().filter_map(|id| self.jobs.get(id));
        jobs.any(|j| !j.stopping() && j.rank() != Priority::Low && j.starts_unwritten())
    }

    /// Replicas, other tasks and machines that are up in a part, as far as its
    /// owner told.
    pub(crate) fn known_up(&self, shard: u16) -> Option<(u32, u32, u32)> {
        let field = self.fields.get(usize::from(shard))?;
        let up = field.machines().filter(|m| m.registered);
        let sum = |(replicas, others, machines), m: &lemonweir_protocol::peer::MachineView| {
            let lasting = u32::from(m.service_task_count);
            (
                replicas + lasting,
                others + u32::from(m.task_count).saturating_sub(lasting),
                machines + 1,
            )
        };
        field
            .machines()
            .next()
            .is_some()
            .then(|| up.fold((0, 0, 0), sum))
    }
}
