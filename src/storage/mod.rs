//! The state service's client, the records kept there, and the copy of the
//! keys that every node follows.

pub mod client;
pub mod mirror;
pub mod records;

pub use client::{StateClient, StateError};
pub use mirror::Mirror;
