//! The load balancer's readiness check, and the reports for operators.

use super::replies::RETRY_AFTER_S;
use crate::Node;
use lemonweir_protocol::encode;
use lemonweir_protocol::links::LinksReport;
use lemonweir_transport::Reply;

/// Responds 200 if this controller can serve users, or 503 while other controllers should
/// serve them instead.
pub(super) fn readiness(node: &Node) -> Reply {
    if node.with_core(|core, now| core.ready(now)) {
        Reply::empty(200)
    } else {
        Reply::unavailable(RETRY_AFTER_S)
    }
}

/// Reports the links as this controller and its peers see them, the number of workers whose
/// heartbeats this controller relays to their leaders, and the number of tasks that appeared on
/// machines though no placer wanted their attempts.
pub(super) fn links(node: &Node) -> Reply {
    let report = node.with_core(|core, now| LinksReport {
        links: core.links.rows(now),
        relayed_workers: core.links.relayed_workers(now),
        unexplained_tasks: core.unexplained_tasks(),
    });
    Reply::new(200, encode(&report))
}

/// Reports under-replicated services and the leaders of shards.
pub(super) fn supervision(node: &Node) -> Reply {
    let report = node.with_core(|core, now| core.supervision_report(now));
    Reply::new(200, encode(&report))
}

/// Reports the recorded failovers.
pub(super) fn failovers(node: &Node) -> Reply {
    let report = node.with_core(|core, now| core.failover_report(now));
    Reply::new(200, encode(&report))
}

/// Reports the events of links and shards since the process started.
pub(super) fn events(node: &Node) -> Reply {
    node.with_core(|core, _| Reply::new(200, encode(&core.links.events())))
}

/// Reports where an image is cached, what uses it, and what would remain after the loss of
/// each zone.
pub(super) fn image_locality(node: &Node, image: &str) -> Reply {
    let report = node.with_core(|core, now| core.image_locality_report(image, now));
    Reply::new(200, encode(&report))
}
