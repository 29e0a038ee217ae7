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
}
