//! Keys and records in the store, and the cache of the keys that every controller watches.
//! This crate does no I/O; the store client is part of the node crate.

pub mod dependencies;
pub mod failovers;
pub mod last_progress;
pub mod packed_chunk;
pub mod records;
pub mod spec_pages;
pub mod state_cache;
mod watched_key;

pub use state_cache::StateCache;
