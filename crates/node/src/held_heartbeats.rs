//! Heartbeats whose answer the core holds, and the connections that wait for it.

use std::cell::RefCell;
use std::collections::HashMap;

use smol::channel::{Receiver, Sender, bounded};

use lemonweir_coordination::{HeartbeatAnswer, HeartbeatId};

/// The channels to the connections of held heartbeats.
#[derive(Default)]
pub(crate) struct HeldHeartbeats {
    waiting: RefCell<HashMap<HeartbeatId, Sender<HeartbeatAnswer>>>,
}

impl HeldHeartbeats {
    /// Registers a heartbeat whose answer is held, and returns the channel on which the answer
    /// arrives. The core answers every heartbeat that it holds; the channel is closed without an
    /// answer if the same heartbeat arrives once more.
    pub(crate) fn hold(&self, id: HeartbeatId) -> Receiver<HeartbeatAnswer> {
        let (sender, answer) = bounded(1);
        self.waiting.borrow_mut().insert(id, sender);
        answer
    }

    /// Passes the answer to the connection of a held heartbeat.
    pub(crate) fn answer(&self, id: &HeartbeatId, answer: HeartbeatAnswer) {
        if let Some(waiting) = self.waiting.borrow_mut().remove(id) {
            // Its receiver waits for as long as the channel is registered.
            let _ = waiting.try_send(answer);
        }
    }
}
