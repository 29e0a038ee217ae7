//! The HTTP client: pools idle connections per address, and distinguishes requests
//! that were certainly not sent from those whose outcome is unknown.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Mutex;
use std::time::{Duration, Instant};

use smol::io::{AsyncReadExt, AsyncWriteExt};
use smol::net::TcpStream;

use super::with_timeout;
use lemonweir_model::constants::{CONNECT_MS, MAX_HEADERS, MAX_RESPONSE_BYTES};

/// ms for which an idle connection is kept: longer than the interval between regular
/// calls, and short enough that connections to machines that are gone don't pile up.
const KEEP_IDLE_MS: u64 = 10_000;

/// Maximum number of idle connections per address, not counting those in use; rarely
/// do more calls to one address overlap.
const MAX_IDLE_PER_ADDRESS: usize = 4;

/// A response that was received in full.
#[derive(Debug)]
pub struct Response {
    /// HTTP status code.
    pub status: u16,
    /// Body; empty if the response has none.
    pub body: Vec<u8>,
}

/// Why a call got no response.
#[derive(Debug, thiserror::Error, PartialEq, Eq, Clone, Copy)]
pub enum CallError {
    /// The connection failed: the request was never sent.
    #[error("connection failed, request not sent")]
    NotSent,
    /// The request was sent, at least in part: it may have been executed, or may still be.
    #[error("no valid response, request may have been executed")]
    Unknown,
}

/// Idle connections, each with the time at which it became idle.
#[derive(Default)]
struct IdleConnections {
    by_address: HashMap<SocketAddr, Vec<(Instant, TcpStream)>>,
    last_sweep: Option<Instant>,
}

impl IdleConnections {
    /// Closes the connection that has been idle for longest once `max` are kept.
    fn evict_oldest(&mut self, max: usize) {
        if self.by_address.values().map(Vec::len).sum::<usize>() < max {
            return;
        }
        let idle_since = |list: &Vec<(Instant, TcpStream)>| list.iter().map(|(at, _)| *at).min();
        let oldest = self
            .by_address
            .iter()
            .filter_map(|(addr, list)| Some((idle_since(list)?, *addr)))
            .min();
        if let Some((at, addr)) = oldest
            && let Some(list) = self.by_address.get_mut(&addr)
        {
            list.retain(|(since, _)| *since != at);
        }
    }
}

/// An HTTP client with a connection pool, shared by all tasks of a process.
pub struct Client {
    idle: Mutex<IdleConnections>,
    max_idle: usize,
}

impl Client {
    /// Creates a client that keeps at most `max_idle` idle connections.
    pub fn new(max_idle: usize) -> Self {
        Self {
            idle: Mutex::default(),
            max_idle,
        }
    }

    /// Sends a request and waits up to `timeout_ms` for its response. Opening a connection
    /// is bounded separately, by [`CONNECT_MS`].
    pub async fn call(
        &self,
        addr: SocketAddr,
        method: &str,
        path: &str,
        body: &[u8],
        timeout_ms: u64,
    ) -> Result<Response, CallError> {
        let pooled = {
            let mut idle = self.lock();
            let keep_for = Duration::from_millis(KEEP_IDLE_MS);
            // Closes connections to addresses that are no longer called, such as those of
            // machines that are gone.
            if idle.last_sweep.is_none_or(|at| at.elapsed() > keep_for / 4) {
                idle.last_sweep = Some(Instant::now());
                idle.by_address.retain(|_, list| {
                    list.retain(|(since, _)| since.elapsed() < keep_for);
                    !list.is_empty()
                });
            }
            let list = idle.by_address.get_mut(&addr);
            list.and_then(|l| {
                std::iter::from_fn(|| l.pop()).find(|(since, _)| since.elapsed() < keep_for)
            })
            .map(|(_, stream)| stream)
        };
        let mut stream = match pooled {
            Some(stream) => stream,
            None => connect(addr).await?,
        };
        let mut message = Vec::with_capacity(160 + body.len());
        message.extend_from_slice(
            format!(
                "{method} {path} HTTP/1.1\r\nHost: {addr}\r\nContent-Type: application/msgpack\r\nContent-Length: {}\r\n\r\n",
                body.len()
            )
            .as_bytes(),
        );
        message.extend_from_slice(body);
        let exchange = async {
            stream
                .write_all(&message)
                .await
                .map_err(|_| CallError::Unknown)?;
            read_response(&mut stream).await.ok_or(CallError::Unknown)
        };
        let (response, keep_alive) = with_timeout(timeout_ms, exchange)
            .await
            .ok_or(CallError::Unknown)??;
        if keep_alive {
            let mut idle = self.lock();
            idle.evict_oldest(self.max_idle);
            let list = idle.by_address.entry(addr).or_default();
            if list.len() < MAX_IDLE_PER_ADDRESS {
                list.push((Instant::now(), stream));
            }
        }
        Ok(response)
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, IdleConnections> {
        self.idle
            .lock()
            .unwrap_or_else(std::sync::PoisonError::into_inner)
    }
}

async fn connect(addr: SocketAddr) -> Result<TcpStream, CallError> {
    let stream = with_timeout(CONNECT_MS, TcpStream::connect(addr))
        .await
        .ok_or(CallError::NotSent)?
        .map_err(|_| CallError::NotSent)?;
    stream.set_nodelay(true).map_err(|_| CallError::NotSent)?;
    Ok(stream)
}

/// Reads one response; the flag is true if the connection may be reused. `None` if the
/// response is malformed, too large or cut short.
async fn read_response(stream: &mut TcpStream) -> Option<(Response, bool)> {
    let mut buffer = Vec::with_capacity(1024);
    let mut chunk = [0u8; 8192];
    loop {
        let n = stream.read(&mut chunk).await.ok()?;
        if n == 0 || buffer.len() + n > MAX_RESPONSE_BYTES {
            return None;
        }
        buffer.extend_from_slice(&chunk[..n]);
        let mut headers = [httparse::EMPTY_HEADER; MAX_HEADERS];
        let mut head = httparse::Response::new(&mut headers);
        let httparse::Status::Complete(start) = head.parse(&buffer).ok()? else {
            continue;
        };
        let status = head.code?;
        let mut length = 0usize;
        let mut keep_alive = true;
        for h in head.headers.iter() {
            let value = std::str::from_utf8(h.value).ok()?.trim();
            if h.name.eq_ignore_ascii_case("content-length") {
                length = value.parse().ok()?;
            } else if h.name.eq_ignore_ascii_case("connection")
                && value.eq_ignore_ascii_case("close")
            {
                keep_alive = false;
            } else if h.name.eq_ignore_ascii_case("transfer-encoding") {
                return None;
            }
        }
        if length > MAX_RESPONSE_BYTES {
            return None;
        }
        let mut body = buffer.split_off(start);
        let received = body.len();
        if received > length {
            return None;
        }
        body.resize(length, 0);
        stream.read_exact(&mut body[received..]).await.ok()?;
        return Some((Response { status, body }, keep_alive));
    }
}
