//! The server: one task a connection, bounded in number, size and time.

use std::cell::Cell;
use std::net::SocketAddr;
use std::rc::Rc;

use smol::io::{AsyncReadExt, AsyncWriteExt};
use smol::net::{TcpListener, TcpStream};
use tracing::{debug, info};

use super::within;
use lemonweir_model::constants::MAX_HEADERS;

/// ms that a request may take to arrive in full.
const READ_TIMEOUT_MS: u64 = 10_000;

/// ms a connection may be idle before it is closed.
const IDLE_TIMEOUT_MS: u64 = 65_000;

/// Connections that wait to be accepted at the most (the system may allow fewer): a
/// process that stalled for a moment has those of all workers before it.
const LISTEN_BACKLOG: i32 = 4_096;

/// Bytes of the head of a request or response; ours are below 1 KiB.
const MAX_HEAD_BYTES: usize = 8 * 1024;

/// A request as it came.
#[derive(Debug)]
pub struct Request {
    /// Method.
    pub method: String,
    /// Path with query.
    pub path: String,
    /// Body.
    pub body: Vec<u8>,
}

/// An answer to be written.
#[derive(Debug, PartialEq)]
pub struct Reply {
    /// HTTP status.
    pub status: u16,
    /// Body.
    pub body: Vec<u8>,
    /// Seconds for `Retry-After`.
    pub retry_after_s: Option<u64>,
    /// Who asked had better ask elsewhere: the connection is closed.
    pub leave: bool,
}

impl Reply {
    /// An answer with a body.
    pub fn new(status: u16, body: Vec<u8>) -> Self {
        Self {
            status,
            body,
            retry_after_s: None,
            leave: false,
        }
    }

    /// An answer without a body.
    pub fn empty(status: u16) -> Self {
        Self::new(status, Vec::new())
    }

    /// A refusal that tells when to come back.
    pub fn busy(after_s: u64) -> Self {
        Self {
            retry_after_s: Some(after_s),
            ..Self::empty(503)
        }
    }
}

/// Connections of one listening address.
#[derive(Debug)]
pub struct Gate {
    open: Cell<usize>,
    most: usize,
    crowded_at: usize,
    /// Connections that guests keep, and how many of them may be kept.
    guests: Cell<usize>,
    guests_most: usize,
}

impl Gate {
    /// Beyond `most` connections new ones are closed at once; from `crowded_at`
    /// on each is closed after its next answer, and of those of guests
    /// ([`Handler::guest`]) already beyond `guests_most`.
    pub fn new(most: usize, crowded_at: usize, guests_most: usize) -> Self {
        Self {
            open: Cell::new(0),
            most,
            crowded_at,
            guests: Cell::new(0),
            guests_most,
        }
    }

    fn crowded(&self) -> bool {
        self.open.get() >= self.crowded_at
    }
}

/// What answers requests.
pub trait Handler: 'static {
    /// Answers one request.
    fn handle(&self, request: Request) -> impl Future<Output = Reply>;

    /// True if who makes such a request must leave room for others to keep their
    /// connections.
    fn guest(&self, _request: &Request) -> bool {
        false
    }
}

/// Accepts connections until the process ends. One that the gate has no room
/// for is closed at once, which the load balancer takes as a refusal.
pub async fn serve<H: Handler>(
    executor: &'static smol::LocalExecutor<'static>,
    listener: TcpListener,
    gate: Gate,
    max_body: usize,
    handler: Rc<H>,
) {
    let gate = Rc::new(gate);
    loop {
        let (stream, peer) = match listener.accept().await {
            Ok(pair) => pair,
            Err(error) => {
                // Out of sockets: wait for some to close rather than spin.
                info!(%error, "accept failed");
                smol::Timer::after(std::time::Duration::from_millis(50)).await;
                continue;
            }
        };
        if gate.open.get() >= gate.most {
            drop(stream);
            continue;
        }
        gate.open.set(gate.open.get() + 1);
        let (handler, gate) = (handler.clone(), gate.clone());
        executor
            .spawn(async move {
                let mut guest = false;
                if let Err(fault) = connection(stream, max_body, &*handler, &gate, &mut guest).await
                {
                    debug!(%peer, fault, "connection closed");
                }
                gate.open.set(gate.open.get() - 1);
                gate.guests.set(gate.guests.get() - usize::from(guest));
            })
            .detach();
    }
}

async fn connection<H: Handler>(
    mut stream: TcpStream,
    max_body: usize,
    handler: &H,
    gate: &Gate,
    guest: &mut bool,
) -> Result<(), &'static str> {
    stream.set_nodelay(true).map_err(|_| "no delay")?;
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
        if !*guest && handler.guest(&request) {
            *guest = true;
            gate.guests.set(gate.guests.get() + 1);
        }
        let reply = handler.handle(request).await;
        // Guards against workers that keep all sockets of a process: there may
        // be more of them than it may open.
        // And against users who ask so often that none are left for workers.
        let close = close
            || reply.leave
            || gate.crowded()
            || *guest && gate.guests.get() > gate.guests_most;
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
            reason(reply.status),
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
    within(READ_TIMEOUT_MS, stream.write_all(&out))
        .await
        .ok_or("write timeout")?
        .map_err(|_| "write failed")
}

fn reason(status: u16) -> &'static str {
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

type Faulty = (u16, &'static str);

/// Reads one request. `None`: the other side closed between requests.
async fn read_request(
    stream: &mut TcpStream,
    buffer: &mut Vec<u8>,
    max_body: usize,
) -> Result<Option<(Request, bool)>, Faulty> {
    let mut chunk = [0u8; 8192];
    loop {
        if !buffer.is_empty()
            && let Some((request, close, used)) = parse(buffer, max_body)?
        {
            buffer.drain(..used);
            return Ok(Some((request, close)));
        }
        let limit = if buffer.is_empty() {
            IDLE_TIMEOUT_MS
        } else {
            READ_TIMEOUT_MS
        };
        match within(limit, stream.read(&mut chunk)).await {
            None if buffer.is_empty() => return Ok(None),
            None => return Err((408, "request took too long")),
            Some(Ok(0) | Err(_)) => return Ok(None),
            Some(Ok(n)) => buffer.extend_from_slice(&chunk[..n]),
        }
    }
}

fn parse(buffer: &[u8], max_body: usize) -> Result<Option<(Request, bool, usize)>, Faulty> {
    let mut headers = [httparse::EMPTY_HEADER; MAX_HEADERS];
    let mut head = httparse::Request::new(&mut headers);
    let start = match head.parse(buffer) {
        Ok(httparse::Status::Complete(start)) => start,
        Ok(httparse::Status::Partial) if buffer.len() > MAX_HEAD_BYTES => {
            return Err((400, "head too large"));
        }
        Ok(httparse::Status::Partial) => return Ok(None),
        Err(_) => return Err((400, "not HTTP")),
    };
    let mut length = 0usize;
    let mut close = head.version == Some(0);
    for h in head.headers.iter() {
        let value = std::str::from_utf8(h.value)
            .map_err(|_| (400, "header not text"))?
            .trim();
        if h.name.eq_ignore_ascii_case("content-length") {
            length = value.parse().map_err(|_| (400, "bad content length"))?;
        } else if h.name.eq_ignore_ascii_case("transfer-encoding") {
            return Err((411, "length required"));
        } else if h.name.eq_ignore_ascii_case("connection") && value.eq_ignore_ascii_case("close") {
            close = true;
        }
    }
    if length > max_body {
        return Err((400, "body too large"));
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

/// Binds a listening socket, with room for the connections of a whole fleet: the
/// standard library asks for 128.
pub async fn listen(addr: SocketAddr) -> std::io::Result<TcpListener> {
    let listener = TcpListener::bind(addr).await?;
    rustix::net::listen(&listener, LISTEN_BACKLOG)?;
    Ok(listener)
}
