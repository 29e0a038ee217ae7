//! Where replicas go: near their weights, against not losing many of them at once.
//!
//! What a place costs (seconds until a replica serves there, and what is paid for
//! it) and what it risks (how much of its job one machine, one zone or the spot
//! machines would take at once) are weighed by the operators' numbers into a few
//! ordered classes of machines ([`trade`]). Each class is an AND of rows of bits, so
//! placing stays a first fit ([`walk`]). [`book`] knows sizes and use of images.

pub mod book;
mod show;
pub mod trade;
pub mod walk;
