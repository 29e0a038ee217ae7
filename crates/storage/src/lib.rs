//! Keys and records in the store, and the cache of the keys that every controller watches.
//! This crate does no I/O; the store client is part of the node crate.

pub mod dependencies;
pub mod failovers;
mod followed_key;
pub mod packed_chunk;
pub mod records;
pub mod state_cache;

pub use state_cache::StateCache;
