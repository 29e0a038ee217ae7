//! The operators' own settings as checked values. They are written in Lua, which
//! the package `lemonweir-policy` evaluates.

/// Checked values.
#[derive(Clone, Debug, PartialEq)]
pub struct Policy {
    /// How long an empty ordinary machine is kept, as a multiple of the time
    /// that a new one takes to boot and to fetch an image.
    pub idle: f64,
    /// The same for a spot machine.
    pub idle_spot: f64,
    /// ms of silence after which a spot machine is released; an ordinary one
    /// gets its lease and twice this.
    pub silent_ms: u64,
    /// A machine that boots this many times as long as usual is released.
    pub boot_patience: f64,
    /// ms after the last word from the store for which workers' reports are
    /// answered, so that their tasks go on.
    pub blind_ms: u64,
    /// Spare room kept per expected arrival while a machine boots.
    pub spare: f64,
    /// Where replicas go.
    pub trade: ServicePlacementWeights,
}

/// What a place may cost a replica against what it risks. A risk counts in times of
/// what a lost replica is down for where its weights must be fetched, all else in
/// seconds until it serves.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ServicePlacementWeights {
    /// Where one machine would hold all of a job's replicas; for a share of them, that
    /// share of it.
    pub machine: f64,
    /// The same of one zone, for more than its equal share, and of spot machines, for
    /// more than half.
    pub zone: f64,
    /// Where all of a job's replicas would be in one zone.
    pub one_zone: f64,
    /// Later by so many s rather than keep one machine more for as long as the replica
    /// lasts: one without replicas so far; twice this for an empty one.
    pub pin_s: f64,
    /// A replica that serves is moved only where so many s are gained beyond those for
    /// which it is down.
    pub move_s: f64,
}

impl Default for ServicePlacementWeights {
    /// The values of the embedded policy.
    fn default() -> Self {
        Self {
            machine: 0.25,
            zone: 0.1,
            one_zone: 3.0,
            pin_s: 6.0,
            move_s: 1.0,
        }
    }
}
