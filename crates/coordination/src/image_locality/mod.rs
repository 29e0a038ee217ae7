//! Where replicas go: near their images, against not losing many of them at once.
//!
//! What a place costs (seconds until a replica serves there, and what is paid for it) and
//! what it risks (how much of its job the failure of one machine, of one zone or of the
//! spot market would take at once) are weighed by the operators' policy into a few ordered
//! classes of machines ([`scoring`]). Each class is an AND of rows of bits, so placement
//! stays a first fit ([`crate::placement`]). [`usage`] tracks sizes and users of images.

mod report;
pub mod scoring;
pub mod usage;
