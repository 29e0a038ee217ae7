//! The operators' policy as validated values. It is written in Lua, which the crate
//! `lemonweir-policy` evaluates.

/// The operators' policy, with every value in its valid range.
#[derive(Clone, Debug, PartialEq)]
pub struct Policy {
    /// Time for which an empty on-demand machine is kept, as a multiple of the time that a new
    /// one takes to boot and to pull an image.
    pub on_demand_idle_multiple: f64,
    /// The same for a spot machine.
    pub spot_idle_multiple: f64,
    /// ms of silence after which a spot machine is released; an on-demand machine is released
    /// after its lease plus twice this time.
    pub spot_silence_timeout_ms: u64,
    /// A machine is released if its boot takes this many times as long as usual.
    pub provisioning_timeout_multiple: f64,
    /// ms after the last response of the store for which workers' heartbeats are accepted, so
    /// that their tasks keep running.
    pub store_outage_grace_ms: u64,
    /// Headroom kept for each arrival that is expected while a machine boots.
    pub headroom_per_arrival: f64,
    /// Weights for the placement of service replicas.
    pub placement_weights: ServicePlacementWeights,
}

/// Weights of the costs and risks of placing a service replica. Risks are multiples of the
/// downtime of a lost replica whose image must be pulled; costs are seconds of delay until
/// the replica serves.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ServicePlacementWeights {
    /// Risk of several of a job's replicas being on one machine, scaled by the share of them
    /// that is, and fourfold for more than half of them.
    pub machine_loss: f64,
    /// Risk of one zone holding more than its equal share of a job's replicas, or of spot
    /// machines holding more than half, scaled by that share.
    pub zone_loss: f64,
    /// Risk of all of a job's replicas being in one zone.
    pub single_zone: f64,
    /// Delay in s that is accepted rather than keep one more machine, which has no replicas
    /// yet, for as long as the replica lives; twice this for an empty machine.
    pub machine_pin_cost_s: f64,
    /// Minimum gain in s, beyond the downtime of the move itself, for which a serving replica
    /// is moved.
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
