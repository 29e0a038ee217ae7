//! The client: keeps idle connections per address and tells a request that was
//! surely not sent from one whose fate is unknown.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Mutex;
use std::time::{Duration, Instant};

use smol::io::{AsyncReadExt, AsyncWriteExt};
use smol::net::TcpStream;

use super::within;
use lemonweir_model::constants::{CONNECT_MS, MAX_HEADERS, MAX_RESPONSE_BYTES};

/// ms that an idle connection of ours is kept: longer than the regular calls
/// are apart, and short enough that those to machines that are gone don't pile
/// up.
const IDLE_KEEP_MS: u64 = 10_000;

/// Idle connections kept per address beyond those in use; calls to one address
/// rarely overlap more than this.
const IDLE_PER_ADDRESS: usize = 4;

/// An answer.
#[derive(Debug)]
pub struct Response {
    /// HTTP status.
    pub status: u16,
    /// Body.
    pub body: Vec<u8>,
}

/// Why there is no answer.
#[derive(Debug, thiserror::Error, PartialEq, Eq, Clone, Copy)]
pub enum CallError {
    /// No connection: the request was never sent.
    #[error("no connection")]
    NotSent,
    /// Sent or partly sent; it may have been or may yet be executed.
    #[error("no response")]
    Unknown,
}

/// Idle connections with the time since when they are.
#[derive(Default)]
struct Idle {
    by_address: HashMap<SocketAddr, Vec<(Instant, TcpStream)>>,
    swept: Option<Instant>,
}

impl Idle {
    /// Closes the connection that is idle longest if there are so many.
    fn make_room(&mut self, most: usize) {
        if self.by_address.values().map(Vec::len).sum::<usize>() < most {
            return;
        }
        let since = |list: &Vec<(Instant, TcpStream)>| list.iter().map(|(at, _)| *at).min();
        let oldest = self
            .by_address
            .iter()
            .filter_map(|(addr, list)| Some((since(list)?, *addr)))
            .min();
        if let Some((at, addr)) = oldest
            && let Some(list) = self.by_address.get_mut(&addr)
        {
            list.retain(|(since, _)| *since != at);
        }
    }
}

/// A pooled client, shared by all tasks of a process.
pub struct Client {
    idle: Mutex<Idle>,
    most_idle: usize,
}

impl Client {
    /// A client that keeps so many idle connections at the most.
    pub fn new(most_idle: usize) -> Self {
        Self {
            idle: Mutex::default(),
            most_idle,
        }
    }

    /// Sends a request and waits `timeout_ms` for its answer.
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
            let keep = Duration::from_millis(IDLE_KEEP_MS);
            // Connections to machines that are gone must not pile up.
            if idle.swept.is_none_or(|at| at.elapsed() > keep / 4) {
                idle.swept = Some(Instant::now());
                idle.by_address.retain(|_, list| {
                    list.retain(|(since, _)| since.elapsed() < keep);
                    !list.is_empty()
                });
            }
            let list = idle.by_address.get_mut(&addr);
            list.and_then(|l| {
                std::iter::from_fn(|| l.pop()).find(|(since, _)| since.elapsed() < keep)
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
        let (response, keep) = within(timeout_ms, exchange)
            .await
            .ok_or(CallError::Unknown)??;
        if keep {
            let mut idle = self.lock();
            idle.make_room(self.most_idle);
            let list = idle.by_address.entry(addr).or_default();
            if list.len() < IDLE_PER_ADDRESS {
                list.push((Instant::now(), stream));
            }
        }
        Ok(response)
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, Idle> {
        self.idle
            .lock()
            .unwrap_or_else(std::sync::PoisonError::into_inner)
    }
}

async fn connect(addr: SocketAddr) -> Result<TcpStream, CallError> {
    let stream = within(CONNECT_MS, TcpStream::connect(addr))
        .await
        .ok_or(CallError::NotSent)?
        .map_err(|_| CallError::NotSent)?;
    stream.set_nodelay(true).map_err(|_| CallError::NotSent)?;
    Ok(stream)
}

/// Reads one response; the flag tells whether the connection may be reused.
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
        let mut keep = true;
        for h in head.headers.iter() {
            let value = std::str::from_utf8(h.value).ok()?.trim();
            if h.name.eq_ignore_ascii_case("content-length") {
                length = value.parse().ok()?;
            } else if h.name.eq_ignore_ascii_case("connection")
                && value.eq_ignore_ascii_case("close")
            {
                keep = false;
            } else if h.name.eq_ignore_ascii_case("transfer-encoding") {
                return None;
            }
        }
        if length > MAX_RESPONSE_BYTES {
            return None;
        }
        let mut body = buffer.split_off(start);
        let have = body.len();
        if have > length {
            return None;
        }
        body.resize(length, 0);
        stream.read_exact(&mut body[have..]).await.ok()?;
        return Some((Response { status, body }, keep));
    }
}
