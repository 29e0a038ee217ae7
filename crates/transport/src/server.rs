//! The HTTP server: one task per connection, with limits on connections, request sizes
//! and times.

use std::cell::Cell;
use std::net::SocketAddr;
use std::rc::Rc;

use smol::io::{AsyncReadExt, AsyncWriteExt};
use smol::net::{TcpListener, TcpStream};
use tracing::{debug, info};

use super::with_timeout;
use lemonweir_model::constants::MAX_HEADERS;

/// Timeout in ms of each read while a request is incomplete, and of writing a reply.
const IO_TIMEOUT_MS: u64 = 10_000;

/// ms after which an idle connection is closed.
const IDLE_TIMEOUT_MS: u64 = 65_000;

/// Maximum number of connections that wait to be accepted; the system may allow fewer.
/// After a short stall of the process, the connections of all workers wait.
const LISTEN_BACKLOG: i32 = 4_096;

/// Bytes after which an incomplete request head is rejected; lemonweir's own heads are
/// below 1 KiB.
const MAX_HEAD_BYTES: usize = 8 * 1024;

/// A request that was received in full.
#[derive(Debug)]
pub struct Request {
    /// HTTP method, such as `GET`.
    pub method: String,
    /// Path and query string.
    pub path: String,
    /// Body; empty if the request has none.
    pub body: Vec<u8>,
}

/// A response to be written.
#[derive(Debug, PartialEq)]
pub struct Reply {
    /// HTTP status code.
    pub status: u16,
    /// Body, sent with `Content-Type: application/msgpack`; empty for none.
    pub body: Vec<u8>,
    /// Value of the `Retry-After` header, in s; `None` leaves the header out.
    pub retry_after_s: Option<u64>,
    /// Closes the connection after this reply, so that the client tries another server.
    pub close_connection: bool,
}

impl Reply {
    /// Creates a reply with a body.
    pub fn new(status: u16, body: Vec<u8>) -> Self {
        Self {
            status,
            body,
            retry_after_s: None,
            close_connection: false,
        }
    }

    /// Creates a reply without a body.
    pub fn empty(status: u16) -> Self {
        Self::new(status, Vec::new())
    }

    /// Creates a 503 reply that asks the client to retry after `after_s` seconds.
    pub fn unavailable(after_s: u64) -> Self {
        Self {
            retry_after_s: Some(after_s),
            ..Self::empty(503)
        }
    }
}

/// Limits the connections of one listening address.
#[derive(Debug)]
pub struct ConnectionLimits {
    open: Cell<usize>,
    max_open: usize,
    close_threshold: usize,
    /// Open connections with at least one low-priority request ([`Handler::is_low_priority`]).
    low_priority: Cell<usize>,
    /// Low-priority connections that may stay open between requests.
    max_low_priority: usize,
}

impl ConnectionLimits {
    /// Creates the limits. While `max_open` connections are open, new ones are closed at
    /// once. While `close_threshold` or more are open, each is closed after its next reply.
    /// Low-priority connections ([`Handler::is_low_priority`]) are closed after their next reply
    /// while there are more than `max_low_priority` of them.
    pub fn new(max_open: usize, close_threshold: usize, max_low_priority: usize) -> Self {
        Self {
            open: Cell::new(0),
            max_open,
            close_threshold,
            low_priority: Cell::new(0),
            max_low_priority,
        }
    }

    fn above_close_threshold(&self) -> bool {
        self.open.get() >= self.close_threshold
    }
}

/// Handles the requests of a server.
pub trait Handler: 'static {
    /// Handles one request and returns the reply to write.
    fn handle(&self, request: Request) -> impl Future<Output = Reply>;

    /// True for a low-priority request: its connection counts against the limit on
    /// low-priority connections, which keeps room for the others.
    fn is_low_priority(&self, _request: &Request) -> bool {
        false
    }
}

/// Accepts connections until the process ends. Those beyond `limits` are
/// closed at once, which the load balancer treats as a refusal.
pub async fn serve<H: Handler>(
    executor: &'static smol::LocalExecutor<'static>,
    listener: TcpListener,
    limits: ConnectionLimits,
    max_body: usize,
    handler: Rc<H>,
) {
    let limits = Rc::new(limits);
    loop {
        let (stream, peer) = match listener.accept().await {
            Ok(pair) => pair,
            Err(error) => {
                // Probably out of file descriptors: waits for some to be closed instead of
                // spinning.
                info!(%error, "accept failed");
                smol::Timer::after(std::time::Duration::from_millis(50)).await;
                continue;
            }
        };
        if limits.open.get() >= limits.max_open {
            drop(stream);
            continue;
        }
        limits.open.set(limits.open.get() + 1);
        let (handler, limits) = (handler.clone(), limits.clone());
        executor
            .spawn(async move {
                let mut low_priority = false;
                if let Err(fault) =
                    serve_connection(stream, max_body, &*handler, &limits, &mut low_priority).await
                {
                    debug!(%peer, fault, "connection closed");
                }
                limits.open.set(limits.open.get() - 1);
                limits
                    .low_priority
                    .set(limits.low_priority.get() - usize::from(low_priority));
            })
            .detach();
    }
}

/// Serves the requests of one connection. Sets `low_priority`, and counts the connection
/// as such, at its first low-priority request; the caller uncounts it at the end.
async fn serve_connection<H: Handler>(
    mut stream: TcpStream,
    max_body: usize,
    handler: &H,
    limits: &ConnectionLimits,
    low_priority: &mut bool,
) -> Result<(), &'static str> {
    stream
        .set_nodelay(true)
        .map_err(|_| "setting TCP_NODELAY failed")?;
    let mut buffer = Vec::new();
    loop {
        let request = match read_request(&mut stream, &mut buffer, max_body).await {
            Ok(Some(request)) => request,
            Ok(None) => return Ok(()),
            Err((status, fault)) => {
                write_reply(&mut stream, &Reply::empty(status), true).await?;
                return Err(fault);
            }
        };
        let (request, close) = request;
        if !*low_priority && handler.is_low_priority(&request) {
            *low_priority = true;
            limits.low_priority.set(limits.low_priority.get() + 1);
        }
        let reply = handler.handle(request).await;
        // Prevents workers from keeping all sockets of the process: there may be more workers
        // than sockets that it may open. Also prevents users with frequent requests from
        // leaving none for workers.
        let close = close
            || reply.close_connection
            || limits.above_close_threshold()
            || *low_priority && limits.low_priority.get() > limits.max_low_priority;
        write_reply(&mut stream, &reply, close).await?;
        if close {
            return Ok(());
        }
    }
}

async fn write_reply(
    stream: &mut TcpStream,
    reply: &Reply,
    close: bool,
) -> Result<(), &'static str> {
    let mut out = Vec::with_capacity(128 + reply.body.len());
    out.extend_from_slice(
        format!(
            "HTTP/1.1 {} {}\r\nContent-Length: {}\r\n",
            reply.status,
            reason_phrase(reply.status),
            reply.body.len()
        )
        .as_bytes(),
    );
    if !reply.body.is_empty() {
        out.extend_from_slice(b"Content-Type: application/msgpack\r\n");
    }
    if let Some(s) = reply.retry_after_s {
        out.extend_from_slice(format!("Retry-After: {s}\r\n").as_bytes());
    }
    if close {
        out.extend_from_slice(b"Connection: close\r\n");
    }
    out.extend_from_slice(b"\r\n");
    out.extend_from_slice(&reply.body);
    with_timeout(IO_TIMEOUT_MS, stream.write_all(&out))
        .await
        .ok_or("write timeout")?
        .map_err(|_| "write failed")
}

fn reason_phrase(status: u16) -> &'static str {
    match status {
        200 => "OK",
        201 => "Created",
        400 => "Bad Request",
        404 => "Not Found",
        405 => "Method Not Allowed",
        409 => "Conflict",
        413 => "Content Too Large",
        421 => "Misdirected Request",
        422 => "Unprocessable Content",
        503 => "Service Unavailable",
        _ => "Status",
    }
}

/// A request that can't be read: the status to reply with, and the reason for the log.
type RejectedRequest = (u16, &'static str);

/// Reads one request, and whether the client asked to close the connection. `None` if the
/// connection was closed, failed, or timed out while idle.
async fn read_request(
    stream: &mut TcpStream,
    buffer: &mut Vec<u8>,
    max_body: usize,
) -> Result<Option<(Request, bool)>, RejectedRequest> {
    let mut chunk = [0u8; 8192];
    loop {
        if !buffer.is_empty()
            && let Some((request, close, used)) = parse_request(buffer, max_body)?
        {
            buffer.drain(..used);
            return Ok(Some((request, close)));
        }
        let timeout_ms = if buffer.is_empty() {
            IDLE_TIMEOUT_MS
        } else {
            IO_TIMEOUT_MS
        };
        match with_timeout(timeout_ms, stream.read(&mut chunk)).await {
            None if buffer.is_empty() => return Ok(None),
            None => return Err((408, "request timed out")),
            Some(Ok(0) | Err(_)) => return Ok(None),
            Some(Ok(n)) => buffer.extend_from_slice(&chunk[..n]),
        }
    }
}

/// Parses the request at the start of the buffer: the request, whether to close the
/// connection after it, and its length. `None` if it is incomplete.
fn parse_request(
    buffer: &[u8],
    max_body: usize,
) -> Result<Option<(Request, bool, usize)>, RejectedRequest> {
    let mut headers = [httparse::EMPTY_HEADER; MAX_HEADERS];
    let mut head = httparse::Request::new(&mut headers);
    let start = match head.parse(buffer) {
        Ok(httparse::Status::Complete(start)) => start,
        Ok(httparse::Status::Partial) if buffer.len() > MAX_HEAD_BYTES => {
            return Err((400, "request head too large"));
        }
        Ok(httparse::Status::Partial) => return Ok(None),
        Err(_) => return Err((400, "malformed request head")),
    };
    let mut length = 0usize;
    let mut close = head.version == Some(0);
    for h in head.headers.iter() {
        let value = std::str::from_utf8(h.value)
            .map_err(|_| (400, "header value is not UTF-8"))?
            .trim();
        if h.name.eq_ignore_ascii_case("content-length") {
            length = value.parse().map_err(|_| (400, "invalid Content-Length"))?;
        } else if h.name.eq_ignore_ascii_case("transfer-encoding") {
            return Err((411, "Transfer-Encoding is not supported"));
        } else if h.name.eq_ignore_ascii_case("connection") && value.eq_ignore_ascii_case("close") {
            close = true;
        }
    }
    if length > max_body {
        return Err((400, "request body too large"));
    }
    if buffer.len() < start + length {
        return Ok(None);
    }
    let request = Request {
        method: head.method.unwrap_or_default().to_owned(),
        path: head.path.unwrap_or_default().to_owned(),
        body: buffer[start..start + length].to_vec(),
    };
    Ok(Some((request, close, start + length)))
}

/// Binds a listening socket with a backlog for the connections of a whole fleet: the
/// standard library sets it to 128.
pub async fn listen(addr: SocketAddr) -> std::io::Result<TcpListener> {
    let listener = TcpListener::bind(addr).await?;
    rustix::net::listen(&listener, LISTEN_BACKLOG)?;
    Ok(listener)
}
