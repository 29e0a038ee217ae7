//! The operators' own settings as checked values. They are written in Lua, which
//! the package `lemonweir-policy` evaluates.

/// Checked values.
#[derive(Clone, Debug, PartialEq)]
pub struct Policy {
    /// How long an empty ordinary machine is kept, as a multiple of the time
    /// that a new one takes to boot and to fetch an image.
    pub on_demand_idle_multiple: f64,
    /// The same for a spot machine.
    pub spot_idle_multiple: f64,
    /// ms of silence after which a spot machine is released; an ordinary one
    /// gets its lease and twice this.
    pub spot_silence_timeout_ms: u64,
    /// A machine that boots this many times as long as usual is released.
    pub provisioning_timeout_multiple: f64,
    /// ms after the last answer of the store for which workers' heartbeats are
    /// answered, so that their tasks go on.
    pub store_outage_grace_ms: u64,
    /// Spare room kept per expected arrival while a machine boots.
    pub headroom_per_arrival: f64,
    /// Where replicas go.
    pub placement_weights: ServicePlacementWeights,
}

/// What a place may cost a replica against what it risks. A risk counts in times of
/// what a lost replica is down for where its weights must be fetched, all else in
/// seconds until it serves.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ServicePlacementWeights {
    /// Where one machine would hold all of a job's replicas; for a share of them, that
    /// share of it.
    pub machine_loss: f64,
    /// The same of one zone, for more than its equal share, and of spot machines, for
    /// more than half.
    pub zone_loss: f64,
    /// Where all of a job's replicas would be in one zone.
    pub single_zone: f64,
    /// Later by so many s rather than keep one machine more for as long as the replica
    /// lasts: one without replicas so far; twice this for an empty one.
    pub machine_pin_cost_s: f64,
    /// A replica that serves is moved only where so many s are gained beyond those for
    /// which it is down.
    pub min_migration_gain_s: f64,
}

impl Default for ServicePlacementWeights {
    /// The values of the embedded policy.
    fn default() -> Self {
        Self {
            machine_loss: 0.25,
            zone_loss: 0.1,
            single_zone: 3.0,
            machine_pin_cost_s: 6.0,
            min_migration_gain_s: 1.0,
        }
    }
}
