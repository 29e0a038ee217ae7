//! What a job's next place is scored by.

use std::collections::{BTreeMap, BTreeSet};

use lemonweir_model::{JobId, JobSpec};
use lemonweir_protocol::peer::AttemptState;

use super::Placer;
use super::requests::all_zones;
use crate::image_locality::scoring::PlacementRisk;
use crate::job::{Job, LiveAttempt};
use crate::placement::PlacementRequest;
use crate::placement::{CandidateShard, PlacedReplicas};

/// Share of a whole fetch that is left of one under way for another job: a machine's
/// owner publishes that it fetches, not since when.
const FETCH_LEFT_SHARE: f64 = 0.5;
/// Replicas of a job up to which the trade looks at where its others lie: of more,
/// what one machine takes is little, and the look costs a step for each.
pub(super) const MAX_SPREAD_TASKS: u32 = 512;

/// What a search over the placement classes needs beside its request.
pub(super) struct ScoringInputs {
    /// What makes a difference.
    pub(super) risk: PlacementRisk,
    /// Where the job's replicas are, index by index; empty: it makes no difference.
    pub(super) placed_replicas: Vec<PlacedReplicas>,
}

impl Placer {
    /// The indexes in the order in which machines are searched: our own shard's, then
    /// others in turn, and at the end those whose owner is reached through the store,
    /// since a start there is a second or two later; these are marked.
    pub(super) fn shard_search_order(&self) -> Vec<CandidateShard> {
        let (own, shards) = (usize::from(self.shard), self.indexes.len() as u16);
        let others = (1..=shards)
            .map(|k| usize::from((self.next_remote_shard + k) % shards))
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

    /// What a place for a job's next replica is scored by, or, with `replaced`, for
    /// one that it has.
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
        risk.remaining_fetch_s = fetch_left_s(job, risk.fetch_s, now);
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
        let underused = self.underused_zones(spec, request, &others, risk);
        scoring.placed_replicas = self
            .indexes
            .iter()
            .map(|index| {
                PlacedReplicas::new(
                    index,
                    risk,
                    others.iter().map(|live| &live.machine),
                    underused.as_deref(),
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

    /// Zones that hold less than their fair share of a job's replicas, where that makes
    /// a difference. Notes in the risk how the replicas lie over the zones.
    fn underused_zones<'a>(
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
        // A job that must be in one zone can't be spread over them.
        let open: BTreeSet<&str> = match (&request.zones, spec.same_zone || spec.zone.is_some()) {
            (_, true) => BTreeSet::new(),
            (Some(zones), _) => zones.iter().copied().collect(),
            (None, _) => all_zones(&self.indexes),
        };
        if self.trade.zone_loss.max(self.trade.single_zone) <= 0.0 || open.len() <= 1 {
            return None;
        }
        risk.zone_count = open.len() as u32;
        let fair_share = if risk.single_zone {
            1
        } else {
            risk.fair_zone_share()
        };
        Some(
            open.into_iter()
                .filter(|zone| replicas.get(zone).copied().unwrap_or(0) < fair_share)
                .collect(),
        )
    }
}

/// Seconds until the image of a job's replicas is expected where it is being fetched:
/// where its own replicas wait for it, it is known since when they do.
fn fetch_left_s(job: &Job, fetch_s: f64, now: u64) -> f64 {
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
    since.map_or(FETCH_LEFT_SHARE * fetch_s, |at| {
        (fetch_s - now.saturating_sub(at) as f64 / 1000.0).max(0.0)
    })
}
