//! lemonweir: a decentralized cluster scheduler.
//!
//! Each controller owns the machines of its part and places its teams' tasks
//! on them first-fit; room of other parts is borrowed through their owner's
//! check. `docs/design.md` gives the reasons and the safety argument.
//!
//! The layers, outermost first: [`transport`] moves bytes, [`protocol`] gives
//! them meaning, [`coordination`] decides, [`storage`] remembers. [`node`]
//! ties them together in one process.

pub mod constants;
pub mod coordination;
pub mod model;
pub mod node;
pub mod operator;
pub mod policy;
pub mod protocol;
pub mod settings;
pub mod storage;
pub mod transport;
