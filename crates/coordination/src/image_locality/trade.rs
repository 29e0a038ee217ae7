//! The trade as ordered classes.

use lemonweir_model::constants::{
    FETCH_BESIDE, FETCH_CROWDED, FEW_TOGETHER, LOST_S, MAIL_START_S, MOST_RISK,
};
use lemonweir_model::policy::ServicePlacementWeights;

/// How near the weights are to a machine.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ImageLocality {
    /// On it.
    Here,
    /// On their way to it.
    Coming,
    /// Neither, and it fetches nothing else.
    Away,
    /// Neither, and another fetch would share its rate.
    Beside,
    /// Neither, and two others or more would.
    Crowded,
    /// Neither, whatever else it fetches.
    Anywhere,
}

/// How many replicas of the job a machine has.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReplicaSpread {
    /// None.
    Nobody,
    /// One.
    One,
    /// Two or more.
    Few,
    /// So many that with one more it would hold over half of the job.
    Most,
}

/// What a machine is paid for already.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum MachineUsage {
    /// A spot machine, for who may use it.
    Spot,
    /// It holds what lasts.
    Settled,
    /// It holds what ends by itself.
    Used,
    /// It is empty.
    Empty,
}

/// Machines that are alike to the trade. `None`: it makes no difference.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct PlacementClass {
    /// Seconds that a place there costs.
    pub cost: f64,
    /// How near the weights are.
    pub near: ImageLocality,
    /// Replicas of the job on the machine.
    pub kin: Option<ReplicaSpread>,
    /// True if its zone has less than its share of the job.
    pub light: Option<bool>,
    /// What it is paid for.
    pub hold: Option<MachineUsage>,
    /// True if it has accelerators left that the task has no use for.
    pub strands: Option<bool>,
    /// True if its owner is told through the store.
    pub mail: Option<bool>,
}

/// What a placement is about.
#[derive(Clone, Copy, Debug, Default)]
pub struct PlacementRisk {
    /// It runs until its job is withdrawn: only then it risks something.
    pub lasting: bool,
    /// Tasks of its job.
    pub tasks: u32,
    /// Seconds that its weights take to come, and what is left of that where they are
    /// on their way.
    pub fetch_s: f64,
    /// See `fetch_s`.
    pub coming_s: f64,
    /// It may use spot machines, and half of its job is on some already.
    pub spot: bool,
    /// See `spot`.
    pub wave: bool,
    /// It needs no accelerator.
    pub plain: bool,
    /// Its job has replicas on machines, and its zones differ.
    pub kin: bool,
    /// Zones that it may go to, if its job has replicas in some: its equal share of
    /// them is reckoned from this. 0 or 1: zones make no difference.
    pub zones: u32,
    /// All of its job's replicas are in one zone so far.
    pub one_zone: bool,
    /// Some owners are told through the store.
    pub mail: bool,
    /// Weights that are there go before everything: it is a replica that was up and
    /// is down until it serves again.
    pub here_first: bool,
}

impl PlacementRisk {
    /// The equal share of the job for each zone.
    pub fn fair(&self) -> u32 {
        self.tasks.div_ceil(self.zones.max(1))
    }

    fn share(&self, replicas: u32) -> f64 {
        (f64::from(replicas) / f64::from(self.tasks.max(1))).min(1.0)
    }

    /// How a machine with so many replicas of the job counts.
    pub fn kin(&self, replicas: u32) -> ReplicaSpread {
        match replicas {
            0 => ReplicaSpread::Nobody,
            n if 2 * (n + 1) > self.tasks => ReplicaSpread::Most,
            1 => ReplicaSpread::One,
            _ => ReplicaSpread::Few,
        }
    }

    /// Seconds for which a lost replica is down where its weights must be fetched.
    fn lost_s(&self) -> f64 {
        self.fetch_s + LOST_S
    }

    /// Seconds that lying with others of its job on one machine is worth.
    pub fn kin_cost(&self, trade: &ServicePlacementWeights, kin: ReplicaSpread) -> f64 {
        let share = match kin {
            ReplicaSpread::Nobody => 0.0,
            ReplicaSpread::One => self.share(2),
            ReplicaSpread::Few => self.share(FEW_TOGETHER),
            ReplicaSpread::Most => MOST_RISK,
        };
        trade.machine_loss * self.lost_s() * share
    }

    /// Seconds that going to a zone is worth which has its share already, or where all
    /// others of its job are.
    pub fn zone_cost(&self, trade: &ServicePlacementWeights, light: bool) -> f64 {
        let beyond = trade.zone_loss * self.share(self.fair() + 1);
        let risk = match (light, self.one_zone) {
            (true, _) => 0.0,
            (false, true) => trade.single_zone.max(beyond),
            (false, false) => beyond,
        };
        risk * self.lost_s()
    }

    /// Seconds that going to a spot machine is worth when half of its job is on some.
    fn wave_cost(&self, trade: &ServicePlacementWeights) -> f64 {
        if self.wave {
            trade.zone_loss * self.share(self.tasks / 2 + 1) * self.lost_s()
        } else {
            0.0
        }
    }
}

/// The classes in the order of their costs; of what costs the same, the one with the
/// nearer weights goes first. What makes no difference is no class of its own, so
/// that a job without replicas, or weights of 0, cost few walks.
pub fn classes(trade: &ServicePlacementWeights, stakes: &PlacementRisk) -> Vec<PlacementClass> {
    let any = PlacementClass {
        cost: 0.0,
        near: ImageLocality::Here,
        kin: None,
        light: None,
        hold: None,
        strands: None,
        mail: None,
    };
    if !stakes.lasting {
        return [
            ImageLocality::Here,
            ImageLocality::Coming,
            ImageLocality::Anywhere,
        ]
        .map(|near| PlacementClass { near, ..any })
        .to_vec();
    }
    let fetch = stakes.fetch_s;
    let nears = [
        (ImageLocality::Here, 0.0),
        (ImageLocality::Coming, stakes.coming_s),
        (ImageLocality::Away, fetch),
        (ImageLocality::Beside, FETCH_BESIDE * fetch),
        (ImageLocality::Crowded, FETCH_CROWDED * fetch),
    ];
    let kins: Vec<Option<ReplicaSpread>> = if stakes.kin && trade.machine_loss > 0.0 {
        [
            ReplicaSpread::Nobody,
            ReplicaSpread::One,
            ReplicaSpread::Few,
            ReplicaSpread::Most,
        ]
        .map(Some)
        .to_vec()
    } else {
        vec![None]
    };
    let lights: Vec<Option<bool>> = if stakes.zones > 1 && stakes.zone_cost(trade, false) > 0.0 {
        [true, false].map(Some).to_vec()
    } else {
        vec![None]
    };
    let mut holds: Vec<(Option<MachineUsage>, f64)> = vec![(None, 0.0)];
    if trade.machine_pin_cost_s > 0.0 || stakes.spot {
        // An ordinary machine for who may use spot ones is paid for anew.
        let dear = if stakes.spot { trade.machine_pin_cost_s } else { 0.0 };
        holds = vec![
            (Some(MachineUsage::Settled), dear),
            (Some(MachineUsage::Used), dear + trade.machine_pin_cost_s),
            (Some(MachineUsage::Empty), dear + 2.0 * trade.machine_pin_cost_s),
        ];
    }
    if stakes.spot {
        holds.insert(0, (Some(MachineUsage::Spot), stakes.wave_cost(trade)));
    }
    // What strands accelerators is dearer than a machine that holds nothing else.
    let strands: Vec<(Option<bool>, f64)> = if stakes.plain {
        vec![(Some(false), 0.0), (Some(true), 2.0 * trade.machine_pin_cost_s)]
    } else {
        vec![(None, 0.0)]
    };
    let mails: Vec<(Option<bool>, f64)> = if stakes.mail {
        vec![(Some(false), 0.0), (Some(true), MAIL_START_S)]
    } else {
        vec![(None, 0.0)]
    };
    let mut all = Vec::with_capacity(
        nears.len() * kins.len() * lights.len() * holds.len() * strands.len() * mails.len(),
    );
    for (near, wait) in nears {
        for &(hold, pay) in &holds {
            for &(strands, left) in &strands {
                for &kin in &kins {
                    for &light in &lights {
                        for &(mail, late) in &mails {
                            let risk = kin.map_or(0.0, |k| stakes.kin_cost(trade, k))
                                + light.map_or(0.0, |l| stakes.zone_cost(trade, l));
                            let cost = wait + pay + left + risk + late;
                            all.push(PlacementClass {
                                cost,
                                near,
                                kin,
                                light,
                                hold,
                                strands,
                                mail,
                            });
                        }
                    }
                }
            }
        }
    }
    let later = |c: &PlacementClass| stakes.here_first && c.near != ImageLocality::Here;
    all.sort_by(|a, b| later(a).cmp(&later(b)).then(a.cost.total_cmp(&b.cost)));
    all
}
