//! The loop that flushes the core at every tick, and earlier on request.

use std::rc::Rc;

use smol::channel::Receiver;

use crate::{Node, effect_executor};
use lemonweir_model::constants::{SHORT_TICK_MS, TICK_MS};
use lemonweir_transport::with_timeout;

/// ms by which a tick must be late for the process to count as overloaded. Status polls
/// are then refused, since they delay heartbeats and submissions.
const OVERLOAD_TICK_DELAY_MS: u64 = 400;

/// ms for which the process counts as overloaded after a late tick.
const OVERLOAD_DURATION_MS: u64 = 500;

/// Flushes the core at every tick and on request, and executes the resulting effects.
/// Never returns.
pub(crate) async fn run(node: Rc<Node>, flush_requests: Receiver<()>) {
    loop {
        let now_ms = node.now_ms();
        let effects = node.with_core(|core, _| core.flush(now_ms));
        for effect in effects {
            effect_executor::execute(&node, effect);
        }
        let wait_ms = if node.with_core(|core, _| core.needs_short_tick(now_ms)) {
            SHORT_TICK_MS
        } else {
            TICK_MS
        };
        let waiting_since_ms = node.now_ms();
        with_timeout(wait_ms, flush_requests.recv()).await;
        let woken_ms = node.now_ms();
        if woken_ms > waiting_since_ms + wait_ms + OVERLOAD_TICK_DELAY_MS {
            node.overloaded_until_ms
                .set(woken_ms + OVERLOAD_DURATION_MS);
        }
    }
}
