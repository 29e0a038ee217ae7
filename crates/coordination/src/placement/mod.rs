//! Bin packing of tasks onto machines with constraint bit vectors.
//!
//! The machines of each shard are indexed by one bit set for each constraint (`bit_set`,
//! `index`): machine type, zone, spot, schedulable, cached image, and so on. The
//! constraints of a request (`request`) are ANDed (`eligibility`), and the best packed
//! machine whose free resources cover the request is chosen (`fit`; paper, section IV-B).
//! If none has enough free resources, `preemption` finds the machine on which the least
//! must be preempted.
//!
//! Image locality, replicas and machine usage are preferences, not constraints: they only
//! decide the order in which candidates are examined, class by class (`candidate_walk`, with
//! the classes of [`crate::image_locality::scoring`]). Machines with the image come first,
//! since the fetch decides when a task starts, then machines in use, so that whole machines
//! stay free.

mod bit_set;
mod candidate_walk;
mod eligibility;
mod fit;
mod index;
mod machine_slot;
mod preemption;
mod replicas;
mod request;

pub use candidate_walk::{Candidate, CandidateShard, CandidateWalk};
pub use index::PlacementIndex;
pub use machine_slot::MachineSlot;
pub use preemption::ImageRequirement;
pub use replicas::PlacedReplicas;
pub use request::PlacementRequest;
