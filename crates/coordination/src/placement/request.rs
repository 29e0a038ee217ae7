//! Requirements of a task on its machine.

use std::collections::BTreeSet;

use lemonweir_model::{MachineId, Resources};

/// Constraints and preferences of one task.
#[derive(Clone, Debug)]
pub struct PlacementRequest<'a> {
    /// Resources that the task needs.
    pub need: Resources,
    /// Allowed machine types; `None`: any.
    pub machine_types: Option<&'a [String]>,
    /// Allowed zones; `None`: any.
    pub zones: Option<Vec<&'a str>>,
    /// True if spot instances are allowed.
    pub spot_allowed: bool,
    /// True if the task runs until its job is cancelled.
    pub long_running: bool,
    /// Image of the task.
    pub image: &'a str,
    /// Size of the image, MB.
    pub image_mb: u64,
    /// Machines that are not eligible.
    pub excluded_machines: &'a [MachineId],
    /// If set, only these machines are eligible.
    pub restricted_to: Option<&'a BTreeSet<MachineId>>,
    /// True if idle on-demand machines are not eligible: they are too expensive for the task,
    /// and a task there would keep them from being released.
    pub avoid_idle_on_demand: bool,
}
