//! What doesn't come up within its time is tried another way, without staff.
//!
//! The usual way has already made room, asked for machines of every type and zone
//! that is allowed, and left out what fails. The ladder only does what that does not,
//! and only for a service that has waited for longer than the step should take:
//!
//! | late at | tried |
//! | --- | --- |
//! | coming up | a replica leaves a machine that has not got it up for one that has its image and room |
//! | finding room | machines that the service avoided are taken again; what the cloud had none of is noted |

use super::*;
use crate::autoscaler::CapacityShortages;
use crate::supervision::services::{PreemptionStep, RecoveryActivity, RecoveryAttempt};

impl Placer {
    /// Tries another way for services that are late.
    pub(crate) fn escalate(&mut self, shortage: &CapacityShortages, now: u64) {
        for id in self.services.late(now, LADDER_MOST) {
            let Some(doing) = self.services.get(&id).map(|s| s.seen.doing) else {
                continue;
            };
            let tries = match doing {
                RecoveryActivity::Starting => self.start_elsewhere(&id, now),
                RecoveryActivity::Resources => self.seek_room(&id, shortage, now),
                _ => Vec::new(),
            };
            for t in &tries {
                info!(job = %id, shard = self.shard, what = t.what, "tried another way");
            }
            self.services.looked(&id, tries, now);
        }
    }

    /// Replicas that have been on their way up for longer than their fetch can take
    /// leave their machines for others that have the image, where such are.
    ///
    /// Guards against a replica that is down for as long as a slow or stuck machine
    /// likes, while another could serve at once. Where none could, what is left of
    /// the fetch is the shortest way.
    fn start_elsewhere(&mut self, id: &JobId, now: u64) -> Vec<RecoveryAttempt> {
        let Some(record) = self.jobs.get(id).and_then(|j| j.record.clone()) else {
            return Vec::new();
        };
        let spec = &record.spec;
        let fetch = self.fetch_ms(spec);
        let late: Vec<(u32, MachineId, u64)> = {
            let Some(job) = self.jobs.get(id) else {
                return Vec::new();
            };
            let coming = |l: &LiveAttempt| {
                l.kill.is_none()
                    && l.since > 0
                    && matches!(
                        l.standing,
                        Some(AttemptState::Accepted | AttemptState::Preparing)
                    )
            };
            let late = job.live.iter().filter(|(_, l)| coming(l)).filter(|(_, l)| {
                // Fetches beside it take their share of the rate.
                let field = self.fields.get(usize::from(l.shard));
                let beside = field
                    .and_then(|f| f.find(&l.machine).map(|i| f.slots[i].fetches))
                    .unwrap_or(0);
                now >= l.since + fetch * u64::from(beside.max(1)) + STEP_MS
            });
            late.map(|(task, l)| (*task, l.machine.clone(), l.since))
                .collect()
        };
        let mut tries = Vec::new();
        let mut taken: Vec<(MachineId, u16)> = Vec::new();
        for (task, machine, since) in late {
            let Some(job) = self.jobs.get(id) else { break };
            let per_zone = job.per_zone(Some(task));
            let here = job
                .live
                .get(&task)
                .map(|l| l.zone.clone())
                .filter(|_| spec.same_zone);
            let mut avoid = job.avoid.clone();
            avoid.push(machine.clone());
            let need = job.need;
            let ask = replica_ask(
                spec,
                allowed_zones(spec, here.as_deref(), &per_zone, job.tasks, &self.fields),
                &avoid,
            );
            let order = self.shards_order();
            let weighed = self.weigh(id, Some(task), &ask, &order, now);
            let mut warm = classes(&self.trade, &weighed.stakes);
            warm.retain(|c| c.near == ImageLocality::Here);
            let Some((p, i, _)) =
                Walk::new(&self.fields, &order, &ask, &weighed.kindred).find(&warm)
            else {
                continue;
            };
            let other = self.fields[p].slots[i].id.clone();
            self.fields[p].take(i, &need, &spec.image);
            let s = now.saturating_sub(since) / 1_000;
            let what =
                format!("replica {task} left {machine}, not up after {s} s; {other} has its image");
            tries.push(RecoveryAttempt {
                rung: PreemptionStep::Elsewhere,
                at: now,
                what,
            });
            taken.push((other, p as u16));
            if let Some(job) = self.jobs.get_mut(id) {
                if let Some(l) = job.live.get_mut(&task) {
                    l.kill = Some(0);
                }
                job.shun(&machine);
            }
        }
        // Only counted: it is placed once its old attempt is proven over.
        for (machine, shard) in taken {
            self.retake(&machine, shard);
        }
        if !tries.is_empty() {
            self.settle(id, now);
        }
        tries
    }

    /// A service that found no room for as long as a machine takes to come.
    ///
    /// Guards against a service that waits beside room on machines that it left
    /// long ago, because it failed there once or was moved away.
    fn seek_room(
        &mut self,
        id: &JobId,
        shortage: &CapacityShortages,
        now: u64,
    ) -> Vec<RecoveryAttempt> {
        let Some(service) = self.services.get(id) else {
            return Vec::new();
        };
        let before = |rung| service.tries.iter().any(|t| t.rung == rung);
        let (lifted, asked) = (
            before(PreemptionStep::Avoided),
            before(PreemptionStep::Rented),
        );
        let Some(job) = self.jobs.get_mut(id).filter(|j| j.suspect.is_none()) else {
            return Vec::new();
        };
        let mut tries = Vec::new();
        if !job.avoid.is_empty() && !lifted {
            let n = job.avoid.len();
            job.avoid.clear();
            self.place_again = true;
            tries.push(RecoveryAttempt {
                rung: PreemptionStep::Avoided,
                at: now,
                what: format!("{n} machines that it avoided may take it again"),
            });
        }
        if asked {
            return tries;
        }
        let none = shortage.closed(now);
        let had = if none.is_empty() {
            "none has come up in time".to_owned()
        } else {
            format!("the cloud has none of {}", none.join(", "))
        };
        tries.push(RecoveryAttempt {
            rung: PreemptionStep::Rented,
            at: now,
            what: format!("machines are asked for; {had}"),
        });
        tries
    }

    /// ms that a fetch of a job's image takes on a slow machine.
    pub(super) fn fetch_ms(&self, spec: &JobSpec) -> u64 {
        (spec.image_gb * FETCH_SPREAD * 1_000.0 / self.fetch_gb_per_s.max(f64::MIN_POSITIVE)) as u64
    }

    /// What a service's status says first, if it has lacked replicas for a while.
    pub(super) fn told_short(&self, id: &JobId, now: u64) -> Option<String> {
        let service = self.services.get(id)?;
        let s = now.saturating_sub(service.short_since?) / 1_000;
        if s < SHORT_TOLD_S {
            return None;
        }
        let tried: Vec<&str> = service.tries.iter().map(|t| t.what.as_str()).collect();
        let tried = if tried.is_empty() {
            String::new()
        } else {
            format!("tried: {}; ", tried.join(", "))
        };
        Some(format!(
            "{} of {} replicas up for {s} s; {tried}",
            service.seen.up, service.seen.promised
        ))
    }
}
