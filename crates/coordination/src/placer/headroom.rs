//! Room kept for work that is expected.

use super::*;

impl Placer {
    /// Tasks of a job whose starts are awaited: those that fit its team's
    /// guarantee, or all of them where the class itself is awaited.
    pub(super) fn awaited(&self, spec: &JobSpec) -> u64 {
        if self.start_within.contains_key(&spec.class) {
            return spec.tasks;
        }
        let guarantee = self.guarantees.get(&spec.team);
        (1..=spec.tasks.min(u64::from(CHUNK_TASKS)))
            .take_while(|&n| within(&spec.task_resources().times(n), guarantee))
            .last()
            .unwrap_or(0)
    }

    /// Counts the work that is expected to come while a machine boots, for
    /// classes whose starts are awaited: empty machines that it would take are
    /// kept, and what finds no room is asked for like waiting work.
    pub(super) fn add_spare(&mut self, now: u64) -> Vec<CapacityDemand> {
        let mut lacking = Vec::new();
        while self
            .arrivals
            .front()
            .is_some_and(|(at, _)| now > at + ARRIVALS_MS)
        {
            self.arrivals.pop_front();
        }
        self.keep.clear();
        let seen_ms = now
            .saturating_sub(self.started + SETTLE_MS)
            .clamp(1, ARRIVALS_MS);
        if self.spare <= 0.0 || seen_ms < ARRIVALS_MS / 3 {
            return lacking;
        }
        let mut taken: Vec<(MachineId, u16)> = Vec::new();
        let mut groups: BTreeMap<(Resources, bool), (f64, Arc<JobRecord>)> = BTreeMap::new();
        for (_, record) in &self.arrivals {
            let spec = &record.spec;
            let restart_ms = self.boot_ms as f64 + spec.image_gb / self.fetch_gb_per_s * 1000.0;
            // Room that costs less is kept for more.
            let share = if spec.allow_spot {
                self.spare * self.spot_discount
            } else {
                self.spare
            };
            let expected = self.awaited(spec) as f64 * restart_ms / seen_ms as f64 * share;
            groups
                .entry((spec.task_resources(), spec.allow_spot))
                .or_insert_with(|| (0.0, record.clone()))
                .0 += expected;
        }
        // As many as a fleet of this size can be expected to need at once.
        let most = SPARE_MOST.max(self.machines().count() as u32 / SPARE_FLEET);
        // The largest first: what is left of whole machines is of no use to them.
        for (expected, record) in groups.into_values().rev() {
            let spec = &record.spec;
            let need = spec.task_resources();
            let mut count = 0;
            for _ in 0..(expected.round() as u32).min(most) {
                let ask = PlacementRequest {
                    need,
                    types: spec.machine_types.as_deref(),
                    zones: None,
                    spot: spec.allow_spot,
                    lasting: false,
                    image: &spec.image,
                    image_mb: spec.image_mb(),
                    avoid: &[],
                    only: None,
                    frugal: false,
                };
                let found = self.fields.iter().enumerate().find_map(|(p, field)| {
                    let fit = field
                        .first_fit(&ask)
                        .or_else(|| field.evict_fit(&ask, spec.priority, false, false, None));
                    fit.map(|i| (p, i))
                });
                let Some((p, i)) = found else {
                    count += 1;
                    continue;
                };
                let field = &mut self.fields[p];
                if field.slots[i].busy == 0 {
                    self.keep.push(field.slots[i].id.clone());
                }
                field.take(i, &need, &spec.image);
                taken.push((field.slots[i].id.clone(), p as u16));
            }
            if count > 0 {
                let zone = spec.zone.clone();
                lacking.push(CapacityDemand {
                    team: spec.team.clone(),
                    need,
                    types: spec.machine_types.clone(),
                    zone,
                    spot: spec.allow_spot,
                    count,
                    one_zone: false,
                    only_spot: spec.allow_spot,
                    idle: false,
                    first: false,
                });
            }
        }
        // Only counted, not taken.
        for (machine, shard) in taken {
            self.retake(&machine, shard);
        }
        lacking
    }
}
