//! What a job's next place is weighed by.

use super::*;

/// What a walk over the classes needs beside its ask.
pub(super) struct ScoringInputs {
    /// What makes a difference.
    pub(super) stakes: PlacementRisk,
    /// Where the job's replicas are, field by field; empty: it makes no difference.
    pub(super) kindred: Vec<PlacedReplicas>,
}

impl Placer {
    /// The parts in the order in which machines are looked for: our own, then others
    /// in turn, and at the end those whose owner is told through the store, since a
    /// start there is a second or two later; these are marked.
    pub(super) fn shards_order(&self) -> Vec<(usize, bool)> {
        let (own, n) = (usize::from(self.shard), self.fields.len() as u16);
        let others = (1..=n)
            .map(|k| usize::from((self.others_turn + k) % n))
            .filter(|&p| p != own);
        let mut order: Vec<(usize, bool)> = std::iter::once(own)
            .chain(others)
            .map(|p| (p, self.links[p].by_mail))
            .collect();
        order.sort_by_key(|&(_, mail)| mail);
        order
    }

    /// What a place for a job's next replica is weighed by, or, with `but`, for one
    /// that it has.
    pub(super) fn weigh(
        &self,
        id: &JobId,
        but: Option<u32>,
        ask: &PlacementRequest<'_>,
        order: &[(usize, bool)],
        now: u64,
    ) -> ScoringInputs {
        let mut weighed = ScoringInputs {
            stakes: PlacementRisk {
                lasting: ask.lasting,
                ..PlacementRisk::default()
            },
            kindred: Vec::new(),
        };
        let Some((job, spec)) = self.jobs.get(id).and_then(|j| j.spec().map(|s| (j, s))) else {
            return weighed;
        };
        if !ask.lasting {
            return weighed;
        }
        let stakes = &mut weighed.stakes;
        stakes.tasks = job.tasks;
        stakes.fetch_s = spec.image_gb / self.fetch_gb_per_s.max(f64::MIN_POSITIVE);
        // Where its own replicas wait for their weights, we know since when they do.
        let waits = |l: &&LiveAttempt| {
            l.since > 0
                && l.standing
                    .is_none_or(|s| matches!(s, AttemptState::Accepted | AttemptState::Preparing))
        };
        let since = job.live.values().filter(waits).map(|l| l.since).min();
        stakes.coming_s = since.map_or(FETCH_LEFT * stakes.fetch_s, |at| {
            (stakes.fetch_s - now.saturating_sub(at) as f64 / 1000.0).max(0.0)
        });
        stakes.spot = ask.spot;
        stakes.plain = ask.need.milli_gpus == 0;
        stakes.mail = order.iter().any(|(_, mail)| *mail);
        let others = || {
            job.live
                .iter()
                .filter(|(task, l)| Some(**task) != but && l.kill.is_none())
                .map(|(_, l)| l)
        };
        if job.tasks < 2 || job.tasks > TRADE_TASKS || others().next().is_none() {
            return weighed;
        }
        stakes.kin = true;
        if spec.allow_spot {
            let on_spot = |l: &LiveAttempt| {
                let field = self.fields.get(usize::from(l.shard));
                field
                    .and_then(|f| f.find(&l.machine).map(|i| f.slots[i].spot))
                    .unwrap_or(false)
            };
            stakes.wave = 2 * others().filter(|l| on_spot(l)).count() as u32 >= job.tasks;
        }
        // A job that must be in one zone can't be spread over them.
        let open: BTreeSet<&str> = match (&ask.zones, spec.same_zone || spec.zone.is_some()) {
            (_, true) => BTreeSet::new(),
            (Some(zones), _) => zones.iter().copied().collect(),
            (None, _) => self.fields.iter().flat_map(PlacementIndex::zones).collect(),
        };
        let mut zones: BTreeMap<&str, u32> = BTreeMap::new();
        others().for_each(|l| *zones.entry(&l.zone).or_default() += 1);
        stakes.one_zone = zones.len() == 1;
        let light: Option<Vec<&str>> =
            (self.trade.zone_loss.max(self.trade.single_zone) > 0.0 && open.len() > 1).then(|| {
                stakes.zones = open.len() as u32;
                let fair = if stakes.one_zone { 1 } else { stakes.fair() };
                open.iter()
                    .filter(|z| zones.get(**z).copied().unwrap_or(0) < fair)
                    .copied()
                    .collect()
            });
        weighed.kindred = self
            .fields
            .iter()
            .map(|field| {
                PlacedReplicas::of(
                    field,
                    stakes,
                    others().map(|l| &l.machine),
                    light.as_deref(),
                )
            })
            .collect();
        weighed
    }
}
