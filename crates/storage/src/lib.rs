//! The records kept in the state service, and the copy of the keys that every
//! node follows. No I/O: the state service's client is the node's.

pub mod chains;
pub mod handovers;
pub mod mirror;
pub mod packed;
pub mod records;

pub use mirror::Mirror;
