//! The watch: services kept up without staff, and changes of hands on record.
//!
//! [`services`] holds, for each service of a placer's teams, what is promised, what
//! is up, since when less, and what is being done about it. The placer's
//! ladder (`placer/ladder.rs`) tries another way where that did not work within its
//! time. [`failover`] holds what was found after a part changed hands, and [`entries`]
//! writes that into the ring of `lemonweir_storage::failovers`; [`picture`] shows both.
//!
//! All of it is kept up by what changed: nothing here walks all jobs for an event.

mod entries;
pub mod failover;
mod picture;
pub mod services;
