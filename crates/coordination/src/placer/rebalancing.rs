//! Replicas moved together, so that machines can be given back, and from places that
//! risk much to better ones.

use super::*;

impl Placer {
    /// Moves the replicas of one machine to others in use, if all of them fit
    /// there and nothing has lacked room for a while: the machine can then be
    /// given back. A replica that moves is down for as long as a stop and a
    /// start take, so this is done one machine at a time.
    ///
    /// Placers take turns by the time of day, so that two of them don't count
    /// on the same room: a replica that then finds none waits for an image.
    pub fn consolidate(&mut self, now: u64, time_of_day: u64) {
        let turn = time_of_day / MOVE_GAP_MS % self.links.len() as u64;
        let settled = time_of_day % MOVE_GAP_MS < MOVE_GAP_MS / 2;
        if turn != u64::from(self.shard)
            || !settled
            || now < self.lacked_at.max(self.placed_at) + QUIET_MS
            || now < self.moved_at + MOVE_GAP_MS
        {
            return;
        }
        // Look again soon, but not at every event: the look walks everything.
        self.moved_at = (now + COPY_REFRESH_MS).saturating_sub(MOVE_GAP_MS);
        let moving = |job: &Job| {
            job.lasting()
                && !job.stopping()
                && job
                    .live
                    .values()
                    .any(|l| l.kill.is_some() || l.standing != Some(AttemptState::Running))
        };
        if self.jobs.values().any(moving) {
            return;
        }
        let mut candidates: Vec<(u32, MachineId)> = Vec::new();
        for slot in self.fields.iter().flat_map(|f| &f.slots) {
            let Some(tasks) = self.on.get(&slot.id) else {
                continue;
            };
            let settled = tasks.iter().all(|(id, t)| {
                let Some(job) = self.jobs.get(id) else {
                    return false;
                };
                job.lasting()
                    && !job.stopping()
                    && job.live.get(t).is_some_and(|l| now >= l.since + STAY_MS)
            });
            if settled && tasks.len() as u32 == slot.busy {
                candidates.push((slot.busy, slot.id.clone()));
            }
        }
        candidates.sort_by(|a, b| a.0.cmp(&b.0).then(b.1.cmp(&a.1)));
        // Those with most tasks are the least likely to fit elsewhere.
        candidates.truncate(MOVE_TRIES);
        let replicas: usize = self
            .jobs
            .values()
            .filter(|j| j.lasting() && !j.stopping())
            .map(|j| j.live.len())
            .sum();
        let mut left = (replicas as f64 * MOVE_SHARE) as u32;
        let mut leaving: Vec<MachineId> = Vec::new();
        let mut taken: Vec<(MachineId, u16)> = Vec::new();
        for (busy, machine) in candidates {
            // One machine at least, however few replicas there are.
            if !leaving.is_empty() && busy > left || taken.iter().any(|(m, _)| *m == machine) {
                continue;
            }
            leaving.push(machine);
            if self.fit_elsewhere(&leaving, &mut taken, now) {
                left = left.saturating_sub(busy);
            } else {
                leaving.pop();
            }
        }
        for (machine, shard) in taken {
            self.retake(&machine, shard);
        }
        if leaving.is_empty() {
            self.better_places(left, now);
        }
        for machine in leaving {
            self.moved_at = now;
            info!(machine = %machine, shard = self.shard, "moving its replicas together with others");
            self.clear_of_replicas(&machine, now);
        }
    }

    /// Moves replicas to where the trade gains more than the move costs, one of a
    /// service at a time and as many as may be moved at once.
    fn better_places(&mut self, most: u32, now: u64) {
        let from = self
            .better_after
            .take()
            .map_or(Bound::Unbounded, Bound::Excluded);
        let ids: Vec<JobId> = self
            .jobs
            .range((from, Bound::Unbounded))
            .filter(|(_, j)| j.lasting())
            .take(BETTER_TRIES)
            .map(|(id, _)| id.clone())
            .collect();
        if ids.len() == BETTER_TRIES {
            self.better_after = ids.last().cloned();
        }
        let mut taken: Vec<(MachineId, u16)> = Vec::new();
        let mut moves = Vec::new();
        for id in ids {
            if moves.len() as u32 >= most.max(1) {
                break;
            }
            if let Some((task, p, i, class)) = self.better_place(&id, now) {
                let Some((need, image)) = self
                    .jobs
                    .get(&id)
                    .and_then(|j| Some((j.need, j.spec()?.image.clone())))
                else {
                    continue;
                };
                self.fields[p].take(i, &need, &image);
                self.fields[p].stays(i);
                taken.push((self.fields[p].slots[i].id.clone(), p as u16));
                moves.push((id, task, class));
            }
        }
        for (machine, shard) in taken {
            self.retake(&machine, shard);
        }
        for (id, task, class) in moves {
            self.moved_at = now;
            info!(job = %id, task, shard = self.shard, near = ?class.near, "moving a replica to a better place");
            if let Some(job) = self.jobs.get_mut(&id) {
                job.trading = true;
                if let Some(l) = job.live.get_mut(&task) {
                    l.kill = Some(0);
                }
            }
            self.settle(&id, now);
        }
    }

    /// Seconds that what a replica risks where it is counts for.
    fn risks(&self, job: &Job, live: &LiveAttempt, stakes: &PlacementRisk) -> f64 {
        let (here, zone) = (
            job.beside(live, |l| &l.machine),
            job.beside(live, |l| &l.zone),
        );
        let light = if stakes.one_zone {
            zone == 1
        } else {
            zone <= stakes.fair()
        };
        let kin = if stakes.kin {
            stakes.kin_cost(&self.trade, stakes.kin(here.saturating_sub(1)))
        } else {
            0.0
        };
        kin + if stakes.zones > 1 {
            stakes.zone_cost(&self.trade, light)
        } else {
            0.0
        }
    }

    /// The replica of a service that risks most where it is, with a place where it
    /// would risk so much less that the move is worth it.
    fn better_place(&self, id: &JobId, now: u64) -> Option<(u32, usize, usize, PlacementClass)> {
        let job = self
            .jobs
            .get(id)
            .filter(|j| !j.stopping() && j.suspect.is_none())?;
        let spec = job.spec()?;
        // Another replica must serve, half of the service at least must go on, and
        // all of it must be in sight and long settled: no move on top of a loss.
        let whole = job.tasks > 1 && job.tasks <= TRADE_TASKS && job.live.len() as u32 == job.tasks;
        let settled = |l: &LiveAttempt| {
            l.standing == Some(AttemptState::Running)
                && l.kill.is_none()
                && now >= l.since + STAY_MS
        };
        if !whole || !job.live.values().all(settled) || hidden_of(job, &self.hidden).is_some() {
            return None;
        }
        let mut on: HashMap<&MachineId, u32> = HashMap::new();
        let mut zones: HashMap<&str, u32> = HashMap::new();
        for l in job.live.values() {
            *on.entry(&l.machine).or_default() += 1;
            *zones.entry(&l.zone).or_default() += 1;
        }
        let together = |l: &LiveAttempt| {
            (
                on.get(&l.machine).copied(),
                zones.get(l.zone.as_str()).copied(),
            )
        };
        let (&task, live) = job
            .live
            .iter()
            .max_by_key(|(task, l)| (together(l), **task))?;
        let hidden = self.hidden_zones();
        let per_zone = job.per_zone(Some(task));
        let open: Vec<&str> = match allowed_zones(spec, None, &per_zone, job.tasks, &self.fields) {
            Some(zones) => zones,
            None => self
                .fields
                .iter()
                .flat_map(PlacementIndex::zones)
                .collect::<BTreeSet<_>>()
                .into_iter()
                .collect(),
        };
        let mut avoid = job.avoid.clone();
        avoid.push(live.machine.clone());
        let ask = replica_ask(
            spec,
            Some(open.into_iter().filter(|z| !hidden.contains(z)).collect()),
            &avoid,
        );
        // A start that is told through the store is no quiet move.
        let order: Vec<(usize, bool)> = self
            .shards_order()
            .into_iter()
            .filter(|(_, mail)| !mail)
            .collect();
        let weighed = self.weigh(id, Some(task), &ask, &order, now);
        let risks = self.risks(job, live, &weighed.stakes);
        let least = self.trade.min_migration_gain_s + MOVE_DOWN_MS as f64 / 1000.0;
        let better: Vec<PlacementClass> = classes(&self.trade, &weighed.stakes)
            .into_iter()
            .take_while(|c| c.cost + least < risks)
            .collect();
        let mut walk = Walk::new(&self.fields, &order, &ask, &weighed.kindred);
        let (p, i, class) = walk.find(&better)?;
        // Guards against others taking that room meanwhile: the replica would wait for
        // a fetch that it was not moved for.
        (class.near != ImageLocality::Here || self.room_besides(&ask, p, i))
            .then_some((task, p, i, class))
    }

    /// True if a machine in use has room and the image for one more beside one on
    /// machine `i` of part `p`.
    fn room_besides(&self, ask: &PlacementRequest<'_>, p: usize, i: usize) -> bool {
        self.fields
            .iter()
            .enumerate()
            .any(|(q, f)| f.fits_besides(ask, if q == p { i } else { usize::MAX }))
    }

    pub(super) fn clear_of_replicas(&mut self, machine: &MachineId, now: u64) {
        let tasks = self.on.get(machine).cloned().unwrap_or_default();
        for (id, task) in tasks {
            if let Some(job) = self.jobs.get_mut(&id) {
                if let Some(l) = job.live.get_mut(&task) {
                    l.kill = Some(0);
                }
                job.shun(machine);
            }
            self.settle(&id, now);
        }
    }

    /// True if the replicas of the last of the machines that are to leave fit
    /// on others in use; notes where, and takes the room there.
    pub(super) fn fit_elsewhere(
        &mut self,
        leaving: &[MachineId],
        taken: &mut Vec<(MachineId, u16)>,
        now: u64,
    ) -> bool {
        let tasks = leaving
            .last()
            .and_then(|m| self.on.get(m))
            .cloned()
            .unwrap_or_default();
        let before = taken.len();
        for (id, task) in tasks {
            let Some((job, spec)) = self.jobs.get(&id).and_then(|j| j.spec().map(|s| (j, s)))
            else {
                return false;
            };
            let per_zone = job.per_zone(Some(task));
            let (need, image) = (job.need, spec.image.clone());
            let zones = allowed_zones(spec, None, &per_zone, job.tasks, &self.fields);
            let ask = replica_ask(spec, zones, leaving);
            let order = self.shards_order();
            let weighed = self.weigh(&id, Some(task), &ask, &order, now);
            let mut warm = classes(&self.trade, &weighed.stakes);
            // Guards against a machine emptied at the price of a service that lies in
            // one place: what is saved is no more than keeping it is worth.
            let risks = job
                .live
                .get(&task)
                .map_or(0.0, |live| self.risks(job, live, &weighed.stakes));
            warm.retain(|c| {
                c.near == ImageLocality::Here && c.cost <= risks + 2.0 * self.trade.machine_pin_cost_s
            });
            let mut walk = Walk::new(&self.fields, &order, &ask, &weighed.kindred);
            let found = walk
                .find(&warm)
                .map(|(p, i, _)| (p, i))
                .filter(|&(p, i)| self.fields[p].slots[i].busy > 0);
            // Guards against others taking that room meanwhile: another place
            // must be left, or the replica would wait for a fetch.
            let Some((p, i)) = found.filter(|&(p, i)| self.room_besides(&ask, p, i)) else {
                for (machine, shard) in taken.drain(before..) {
                    self.retake(&machine, shard);
                }
                return false;
            };
            self.fields[p].take(i, &need, &image);
            self.fields[p].stays(i);
            taken.push((self.fields[p].slots[i].id.clone(), p as u16));
        }
        true
    }
}
