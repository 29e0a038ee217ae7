//! HTTP/1.1 over TCP: a server and a pooled client. Bodies are opaque bytes.

pub mod client;
pub mod server;

pub use client::{CallError, Client, Response};
pub use server::{ConnectionLimits, Handler, Reply, Request, serve};

use std::time::Duration;

use smol::future::FutureExt;

/// Runs a future for at most `ms` milliseconds; returns `None` on timeout.
pub async fn with_timeout<T>(ms: u64, work: impl Future<Output = T>) -> Option<T> {
    async { Some(work.await) }
        .or(async {
            smol::Timer::after(Duration::from_millis(ms)).await;
            None
        })
        .await
}
