//! Pool of connections to upstreams.

use std::{
    collections::{HashMap, VecDeque},
    hash::{DefaultHasher, Hash, Hasher},
    io::{self, ErrorKind},
    net::SocketAddr,
    sync::{Arc, Mutex, PoisonError},
    time::{Duration, Instant},
};

use base::{Clock, UpstreamId};
use bytes::Bytes;
use http_body_util::Full;
use hyper::client::conn::http1::{Builder, SendRequest};
use hyper_util::rt::TokioIo;
use log::{debug, info};
use tokio::{net::TcpStream, task::JoinHandle, time::timeout};

use super::response_head::{HeadGate, LimitedStream, MAX_HEAD_BYTES};
use crate::frames::set_socket_options;

/// Timeout for opening a connection; a live upstream accepts one within a few milliseconds, even from another region.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(250);
/// Number of connections that are tried before an upstream counts as gone because they time out. A single one is lost with
/// its first packet, which is sent again only after a second.
const MAX_PROBES: u32 = 3;
/// Idle time after which a connection is not reused if the upstream does not state a timeout.
const DEFAULT_KEEP_ALIVE: Duration = Duration::from_secs(2);
/// Margin subtracted from the idle timeout that an upstream states, because the next request takes time to reach it.
const KEEP_ALIVE_MARGIN: Duration = Duration::from_millis(500);
/// Maximum number of idle connections per upstream.
const MAX_IDLE_PER_UPSTREAM: usize = 16;
/// Number of request ids that a connection remembers. A repeated response is one of the last few.
const MAX_CARRIED_IDS: usize = 64;
/// Factor between the idle time after which a kept connection was found closed and the new idle limit.
const IDLE_LIMIT_FACTOR: f64 = 0.7;
/// Minimum idle limit, so that connections are still reused under load.
const MIN_IDLE_LIMIT: Duration = Duration::from_millis(30);
/// Validity of an idle limit: upstreams that drop connections early usually do so only for a while.
const IDLE_LIMIT_TTL: Duration = Duration::from_secs(20);

/// Connection to an upstream. Dropping it closes the connection, and the upstream then cancels the request it is
/// running.
pub(crate) struct UpstreamConnection {
    pub(crate) sender: SendRequest<Full<Bytes>>,
    /// Idle time of the connection before its current use; `None` if the connection is new.
    pub(crate) idle_for: Option<Duration>,
    /// Limits the head of each response.
    pub(super) head_gate: HeadGate,
    pub(super) carried_ids: Box<CarriedIds>,
    task: JoinHandle<()>,
}

/// Ids of the last requests on a connection, as hashes.
#[derive(Default)]
pub(crate) struct CarriedIds {
    hashes: VecDeque<u64>,
}

impl CarriedIds {
    fn hash_of(id: &str) -> u64 {
        let mut hasher = DefaultHasher::new();
        id.hash(&mut hasher);
        hasher.finish()
    }

    /// Records the id of a request that is about to be sent.
    pub(super) fn record(&mut self, id: &str) {
        if self.hashes.len() >= MAX_CARRIED_IDS {
            self.hashes.pop_front();
        }
        self.hashes.push_back(Self::hash_of(id));
    }

    /// True if a request with this id was sent on the connection. A repeated response to it could not be told from the
    /// response to another request with the same id.
    fn contains(&self, id: &str) -> bool {
        self.hashes.contains(&Self::hash_of(id))
    }
}

impl Drop for UpstreamConnection {
    fn drop(&mut self) {
        self.task.abort();
    }
}

struct IdleConnection {
    connection: UpstreamConnection,
    since: Instant,
    until: Instant,
}

/// Maximum idle time of reused connections, and the end of the period in which this limit applies.
type IdleLimit = Option<(Duration, Instant)>;

/// Idle connections by upstream, with an idle limit that applies to all of them.
pub(crate) struct ConnectionPool {
    clock: Arc<dyn Clock>,
    idle: Mutex<HashMap<UpstreamId, Vec<IdleConnection>>>,
    idle_limit: Mutex<IdleLimit>,
}

impl ConnectionPool {
    pub(crate) fn new(clock: Arc<dyn Clock>) -> Self {
        Self { clock, idle: Mutex::default(), idle_limit: Mutex::default() }
    }

    /// Takes an idle connection that can still be used for the request `id`.
    pub(crate) fn take(&self, upstream: &UpstreamId, id: &str) -> Option<UpstreamConnection> {
        let now = self.clock.now();
        let limit = self.idle_limit(now);
        let mut idle = self.idle.lock().unwrap_or_else(PoisonError::into_inner);
        let connections = idle.get_mut(upstream)?;
        while let Some(index) =
            connections.iter().rposition(|idle| !idle.connection.carried_ids.contains(id))
        {
            let IdleConnection { mut connection, since, until } = connections.remove(index);
            let idle_for = now.saturating_duration_since(since);
            let is_usable = now < until && limit.is_none_or(|limit| idle_for < limit);
            if is_usable && connection.sender.is_ready() && !connection.sender.is_closed() {
                connection.idle_for = Some(idle_for);
                return Some(connection);
            }
        }
        None
    }

    fn idle_limit(&self, now: Instant) -> Option<Duration> {
        let limit = *self.idle_limit.lock().unwrap_or_else(PoisonError::into_inner);
        limit.filter(|(_, until)| now < *until).map(|(limit, _)| limit)
    }

    /// Records that a kept connection was found closed after it had been idle for `idle_for`. Upstreams may drop idle
    /// connections without notice, and the next request on such a connection is lost.
    pub(crate) fn record_reset(&self, idle_for: Duration) {
        let now = self.clock.now();
        let limit = idle_for.mul_f64(IDLE_LIMIT_FACTOR).max(MIN_IDLE_LIMIT);
        let limit = self.idle_limit(now).map_or(limit, |known| known.min(limit));
        info!(
            "event=kept_connection_lost rested_ms={} limit_ms={}",
            idle_for.as_millis(),
            limit.as_millis()
        );
        let mut idle_limit = self.idle_limit.lock().unwrap_or_else(PoisonError::into_inner);
        *idle_limit = Some((limit, now + IDLE_LIMIT_TTL));
    }

    /// Returns a connection to the pool, after its last response has been read completely.
    pub(crate) fn put(
        &self,
        upstream: &UpstreamId,
        connection: UpstreamConnection,
        keep_alive: Option<Duration>,
    ) {
        let idle_timeout =
            keep_alive.map_or(DEFAULT_KEEP_ALIVE, |time| time.saturating_sub(KEEP_ALIVE_MARGIN));
        let since = self.clock.now();
        let until = since + idle_timeout;
        let mut idle = self.idle.lock().unwrap_or_else(PoisonError::into_inner);
        if !idle.contains_key(upstream) {
            idle.insert(upstream.clone(), Vec::new());
        }
        let connections = idle.get_mut(upstream).expect("the upstream was just added");
        if connections.len() >= MAX_IDLE_PER_UPSTREAM {
            connections.remove(0);
        }
        connections.push(IdleConnection { connection, since, until });
    }

    /// Closes the connections to an upstream that have been idle the longest, until at most `allowed` are left.
    pub(crate) fn limit_idle(&self, upstream: &UpstreamId, allowed: usize) {
        let mut idle = self.idle.lock().unwrap_or_else(PoisonError::into_inner);
        if let Some(connections) = idle.get_mut(upstream) {
            connections.drain(..connections.len().saturating_sub(allowed));
        }
    }

    /// Closes connections to removed upstreams, and those that have been idle for too long.
    pub(crate) fn retain(&self, is_known: impl Fn(&UpstreamId) -> bool) {
        let now = self.clock.now();
        let mut idle = self.idle.lock().unwrap_or_else(PoisonError::into_inner);
        idle.retain(|upstream, connections| {
            connections.retain(|idle| now < idle.until);
            !connections.is_empty() && is_known(upstream)
        });
    }

    /// True if a process listens at `address`. A connection that times out is tried again until `deadline`; one that is
    /// refused shows that no process listens.
    pub(crate) async fn accepts_connections(&self, address: SocketAddr, deadline: Instant) -> bool {
        for _ in 0..MAX_PROBES {
            match open_stream(address).await {
                Ok(_) => return true,
                Err(error) if error.kind() != ErrorKind::TimedOut => return false,
                Err(_) if self.clock.now() >= deadline => return false,
                Err(_) => {}
            }
        }
        false
    }

    /// Opens a connection; `None` if that fails, in which case nothing was sent.
    pub(crate) async fn connect(&self, address: SocketAddr) -> Option<UpstreamConnection> {
        let stream = open_stream(address).await.ok()?;
        set_socket_options(&stream);
        let head_gate = HeadGate::default();
        let stream = LimitedStream::new(stream, head_gate.clone());
        match Builder::new().max_buf_size(MAX_HEAD_BYTES).handshake(TokioIo::new(stream)).await {
            Ok((sender, connection)) => {
                let task = tokio::spawn(async move {
                    if let Err(error) = connection.await {
                        debug!(
                            "event=upstream_connection_ended address={address} error=\"{error}\""
                        );
                    }
                });
                let carried_ids = Box::default();
                Some(UpstreamConnection { sender, idle_for: None, head_gate, carried_ids, task })
            }
            Err(error) => {
                debug!("event=connect_failed address={address} error=\"{error}\"");
                None
            }
        }
    }
}

async fn open_stream(address: SocketAddr) -> io::Result<TcpStream> {
    let connect = timeout(CONNECT_TIMEOUT, TcpStream::connect(address));
    let connected = connect.await.unwrap_or_else(|_| Err(ErrorKind::TimedOut.into()));
    connected
        .inspect_err(|error| debug!("event=connect_failed address={address} error=\"{error}\""))
}
