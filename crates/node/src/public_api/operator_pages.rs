//! The load balancer's question, and the operators' pages.

use super::replies::RETRY_AFTER_S;
use crate::Node;
use lemonweir_protocol::encode;
use lemonweir_protocol::links::LinksReport;
use lemonweir_transport::Reply;

/// Whether this controller serves users: 200, or 503 while others do better.
pub(super) fn readiness(node: &Node) -> Reply {
    if node.with_core(|core, now| core.ready(now)) {
        Reply::empty(200)
    } else {
        Reply::busy(RETRY_AFTER_S)
    }
}

/// Links as this controller and its peers see them, and how many workers' heartbeats are
/// relayed here.
pub(super) fn links(node: &Node) -> Reply {
    let report = node.with_core(|core, now| LinksReport {
        links: core.links.rows(now),
        relayed_workers: core.links.relayed_workers(now),
    });
    Reply::new(200, encode(&report))
}

/// Services that lack replicas, and the leaders of shards.
pub(super) fn supervision(node: &Node) -> Reply {
    let report = node.with_core(|core, now| core.supervision_report(now));
    Reply::new(200, encode(&report))
}

/// Failovers on record.
pub(super) fn failovers(node: &Node) -> Reply {
    let report = node.with_core(|core, now| core.failover_report(now));
    Reply::new(200, encode(&report))
}

/// Events of links and shards since the process started.
pub(super) fn events(node: &Node) -> Reply {
    node.with_core(|core, _| Reply::new(200, encode(&core.links.events())))
}

/// Where an image is cached, who uses it, and what the loss of each zone would leave.
pub(super) fn image_locality(node: &Node, image: &str) -> Reply {
    let report = node.with_core(|core, now| core.image_locality_report(image, now));
    Reply::new(200, encode(&report))
}
