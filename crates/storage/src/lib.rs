//! The records kept in the store, and the copy of the keys that every
//! node follows. No I/O: the store's client is the node's.

pub mod dependencies;
pub mod failovers;
mod followed_key;
pub mod packed_chunk;
pub mod records;
pub mod state_cache;

pub use state_cache::StateCache;
