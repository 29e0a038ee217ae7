//! Placement of replicas by image locality, weighed against correlated failures.
//!
//! The operators' policy combines the cost of a machine (seconds until a replica serves there,
//! and the price) and its risk (the share of the job that is lost at once with that machine, its
//! zone or the spot market) into a few ordered classes of machines ([`scoring`]). Each class is
//! an intersection of bitmap rows, so placement remains a first fit ([`crate::placement`]).
//! [`usage`] tracks sizes and users of images.

mod report;
pub mod scoring;
pub mod usage;
