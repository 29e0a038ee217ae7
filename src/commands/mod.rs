//! Commands that call a running controller.

pub(crate) mod image_locality;
pub(crate) mod jobs;
pub(crate) mod links;
pub(crate) mod supervision;
