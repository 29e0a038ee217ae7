//! The laboratory: the real decisions of lemonweir against a simulated world,
//! written from the protocol page. `docs/laboratory.md` says what it models,
//! what it leaves out, and what its figures are worth.

pub mod baseline;
pub mod checker;
pub mod cloud;
pub mod compare;
pub mod fields;
pub mod ground;
pub mod history;
pub mod host;
pub mod hunt;
pub mod load;
pub mod measures;
pub mod output;
pub mod plots;
pub mod run;
pub mod sample;
pub mod scenario;
pub mod store;
pub mod traces;
pub mod worker;
pub mod world;
