//! Inputs for scoring the places of a job's next task.

use std::collections::{BTreeMap, BTreeSet};

use lemonweir_model::{JobId, JobSpec};
use lemonweir_protocol::peer::AttemptState;

use super::Placer;
use super::requests::all_zones;
use crate::image_locality::scoring::PlacementRisk;
use crate::job::{Job, LiveAttempt};
use crate::placement::PlacementRequest;
use crate::placement::{CandidateShard, PlacedReplicas};

/// Fraction assumed to remain of a fetch that is under way for another job: the owner
/// publishes that a machine fetches an image, but not since when.
const ASSUMED_REMAINING_FETCH: f64 = 0.5;
/// Most tasks of a job for which the places of its other replicas are scored: of a larger
/// job a machine holds only a small share, and each replica adds a step to the scoring.
pub(super) const MAX_SPREAD_TASKS: u32 = 512;

/// What a search over the placement classes needs in addition to its request.
pub(super) struct ScoringInputs {
    /// What the placement risks, and which properties of a place matter.
    pub(super) risk: PlacementRisk,
    /// Where the job's replicas are, one entry per index; empty: their places don't matter.
    pub(super) placed_replicas: Vec<PlacedReplicas>,
}

impl Placer {
    /// The shards in the order in which their machines are searched: this placer's own, then
    /// the others in rotation. Those whose owners are reached only through the store come
    /// last, since a start there takes a second or two longer.
    pub(super) fn shard_search_order(&self) -> Vec<CandidateShard> {
        let (own, shards) = (usize::from(self.shard), self.indexes.len() as u16);
        let others = (1..=shards)
            .map(|k| usize::from((self.last_remote_shard + k) % shards))
            .filter(|&shard| shard != own);
        let mut order: Vec<CandidateShard> = std::iter::once(own)
            .chain(others)
            .map(|shard| CandidateShard {
                shard,
                via_store: self.owner_channels[shard].via_store,
            })
            .collect();
        order.sort_by_key(|candidate| candidate.via_store);
        order
    }

    /// Inputs for scoring a place for a job's next replica, or for a new place of the replica
    /// `replaced`.
    pub(super) fn scoring_inputs(
        &self,
        id: &JobId,
        replaced: Option<u32>,
        request: &PlacementRequest<'_>,
        order: &[CandidateShard],
        now: u64,
    ) -> ScoringInputs {
        let mut scoring = ScoringInputs {
            risk: PlacementRisk {
                long_running: request.long_running,
                ..PlacementRisk::default()
            },
            placed_replicas: Vec::new(),
        };
        let Some((job, spec)) = self
            .jobs
            .get(id)
            .and_then(|job| job.spec().map(|spec| (job, spec)))
        else {
            return scoring;
        };
        if !request.long_running {
            return scoring;
        }
        let risk = &mut scoring.risk;
        risk.task_count = job.tasks;
        risk.fetch_s = spec.image_gb / self.fetch_gb_per_s.max(f64::MIN_POSITIVE);
        risk.remaining_fetch_s = remaining_fetch_s(job, risk.fetch_s, now);
        risk.spot_allowed = request.spot_allowed;
        risk.without_gpus = request.need.milli_gpus == 0;
        risk.via_store = order.iter().any(|candidate| candidate.via_store);
        let others: Vec<&LiveAttempt> = job
            .live
            .iter()
            .filter(|(task, live)| Some(**task) != replaced && live.stop_grace_s.is_none())
            .map(|(_, live)| live)
            .collect();
        if job.tasks < 2 || job.tasks > MAX_SPREAD_TASKS || others.is_empty() {
            return scoring;
        }
        risk.has_replicas = true;
        if spec.allow_spot {
            risk.half_on_spot = 2 * self.count_on_spot(&others) >= job.tasks;
        }
        let zones_below_share = self.zones_below_share(spec, request, &others, risk);
        scoring.placed_replicas = self
            .indexes
            .iter()
            .map(|index| {
                PlacedReplicas::new(
                    index,
                    risk,
                    others.iter().map(|live| &live.machine),
                    zones_below_share.as_deref(),
                )
            })
            .collect();
        scoring
    }

    fn count_on_spot(&self, replicas: &[&LiveAttempt]) -> u32 {
        let is_on_spot = |live: &LiveAttempt| {
            self.indexes
                .get(usize::from(live.shard))
                .and_then(|index| {
                    index
                        .position(&live.machine)
                        .map(|slot| index.slots[slot].spot)
                })
                .unwrap_or(false)
        };
        replicas.iter().filter(|live| is_on_spot(live)).count() as u32
    }

    /// Zones that hold less than their fair share of a job's replicas; `None`: the zone does
    /// not matter. Records in `risk` how the replicas are spread over the zones.
    fn zones_below_share<'a>(
        &'a self,
        spec: &JobSpec,
        request: &PlacementRequest<'a>,
        others: &[&LiveAttempt],
        risk: &mut PlacementRisk,
    ) -> Option<Vec<&'a str>> {
        let mut replicas: BTreeMap<&str, u32> = BTreeMap::new();
        for live in others {
            *replicas.entry(&live.zone).or_default() += 1;
        }
        risk.single_zone = replicas.len() == 1;
        // A job that must be in one zone can't be spread over several.
        let zones: BTreeSet<&str> = match (&request.zones, spec.same_zone || spec.zone.is_some()) {
            (_, true) => BTreeSet::new(),
            (Some(zones), _) => zones.iter().copied().collect(),
            (None, _) => all_zones(&self.indexes),
        };
        if self
            .placement_weights
            .zone_loss
            .max(self.placement_weights.single_zone)
            <= 0.0
            || zones.len() <= 1
        {
            return None;
        }
        risk.zone_count = zones.len() as u32;
        let fair_share = if risk.single_zone {
            1
        } else {
            risk.fair_zone_share()
        };
        Some(
            zones
                .into_iter()
                .filter(|zone| replicas.get(zone).copied().unwrap_or(0) < fair_share)
                .collect(),
        )
    }
}

/// Expected s until a fetch of a job's image that is under way completes. If replicas of the
/// job wait for it, the fetch is assumed to have begun when the earliest of them was placed.
fn remaining_fetch_s(job: &Job, fetch_s: f64, now: u64) -> f64 {
    let is_fetching = |live: &&LiveAttempt| {
        live.placed_at > 0
            && live
                .state
                .is_none_or(|s| matches!(s, AttemptState::Accepted | AttemptState::Preparing))
    };
    let since = job
        .live
        .values()
        .filter(is_fetching)
        .map(|live| live.placed_at)
        .min();
    since.map_or(ASSUMED_REMAINING_FETCH * fetch_s, |at| {
        (fetch_s - now.saturating_sub(at) as f64 / 1000.0).max(0.0)
    })
}
