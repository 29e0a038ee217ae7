//! The entry of one machine in the placement index.

use lemonweir_model::{MachineId, Resources};
use lemonweir_protocol::peer::MachineView;

/// Resources and load of a machine: as its owner published them, adjusted by the
/// reservations made since.
#[derive(Clone, Debug)]
pub struct MachineSlot {
    /// ID of the machine.
    pub id: MachineId,
    /// Zone of the machine.
    pub zone: String,
    /// True for a spot instance, false for an on-demand one.
    pub spot: bool,
    /// Resources taken by neither tasks nor reservations.
    pub free: Resources,
    /// Number of tasks, including reservations.
    pub task_count: u32,
    /// Number of tasks that run until their jobs are cancelled.
    pub long_running_count: u32,
    /// Number of images being fetched, which share the machine's fetch rate.
    pub fetch_count: u32,
    /// MB that may be fetched before its cache evicts an image that unfinished jobs use;
    /// `u64::MAX` while unknown.
    pub cache_headroom_mb: u64,
    /// Resources of the attempts below each priority, by [`lemonweir_model::Priority::index`].
    pub preemptible: [Resources; 3],
    /// The same, plus the attempts that teams run beyond their guaranteed quota.
    pub preemptible_over_quota: [Resources; 3],
}

impl From<&MachineView> for MachineSlot {
    fn from(view: &MachineView) -> Self {
        Self {
            id: view.id.clone(),
            zone: view.zone.clone(),
            spot: view.spot,
            free: view.free,
            task_count: u32::from(view.task_count),
            long_running_count: u32::from(view.service_task_count),
            fetch_count: view.pulling_images.len() as u32,
            cache_headroom_mb: u64::MAX,
            preemptible: view.preemptible,
            preemptible_over_quota: view.preemptible_or_over_quota,
        }
    }
}
