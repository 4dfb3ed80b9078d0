//! Connections to upstreams, kept per upstream process.

use std::{
    collections::HashMap,
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

use crate::frames::bound_silence;

/// An upstream that is alive accepts a connection within a few milliseconds, also in another region.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(250);
/// Idle time after which a connection is not reused if the upstream states none.
const DEFAULT_KEEP: Duration = Duration::from_secs(2);
/// Taken off the idle time that an upstream states, for the way there.
const KEEP_RESERVE: Duration = Duration::from_millis(500);
/// Idle connections kept per upstream.
const MAX_IDLE: usize = 16;
/// Part of the rest after which a kept connection turned out to be gone that later ones are granted.
const RESET_PART: f64 = 0.7;
/// Shortest rest that is granted, so that connections are still reused under load.
const MIN_REST: Duration = Duration::from_millis(30);
/// Time for which such a finding holds: upstreams that forget connections early mostly do so for a while only.
const REST_LIFETIME: Duration = Duration::from_secs(20);

/// One connection. Dropping it closes it, which cancels whatever the upstream does for it.
pub(crate) struct UpstreamConnection {
    pub(crate) sender: SendRequest<Full<Bytes>>,
    /// Time for which it was idle before its present use; `None` if it is new.
    pub(crate) rested: Option<Duration>,
    task: JoinHandle<()>,
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

/// Longest rest after which connections are reused, and how long that holds.
type RestLimit = Option<(Duration, Instant)>;

/// Idle connections by upstream.
pub(crate) struct ConnectionPool {
    clock: Arc<dyn Clock>,
    idle: Mutex<HashMap<UpstreamId, Vec<IdleConnection>>>,
    rest_limit: Mutex<RestLimit>,
}

impl ConnectionPool {
    pub(crate) fn new(clock: Arc<dyn Clock>) -> Self {
        Self { clock, idle: Mutex::default(), rest_limit: Mutex::default() }
    }

    /// An idle connection that can still be used.
    pub(crate) fn take(&self, upstream: &UpstreamId) -> Option<UpstreamConnection> {
        let now = self.clock.now();
        let limit = self.rest_limit(now);
        let mut idle = self.idle.lock().unwrap_or_else(PoisonError::into_inner);
        let connections = idle.get_mut(upstream)?;
        while let Some(IdleConnection { mut connection, since, until }) = connections.pop() {
            let rested = now.saturating_duration_since(since);
            let is_usable = now < until && limit.is_none_or(|limit| rested < limit);
            if is_usable && connection.sender.is_ready() && !connection.sender.is_closed() {
                connection.rested = Some(rested);
                return Some(connection);
            }
        }
        None
    }

    fn rest_limit(&self, now: Instant) -> Option<Duration> {
        let limit = *self.rest_limit.lock().unwrap_or_else(PoisonError::into_inner);
        limit.filter(|(_, until)| now < *until).map(|(limit, _)| limit)
    }

    /// Records that a kept connection turned out to be gone after it had been idle for `rested`. Upstreams may drop idle
    /// connections without notice, and what is sent next is lost.
    pub(crate) fn record_reset(&self, rested: Duration) {
        let now = self.clock.now();
        let limit = rested.mul_f64(RESET_PART).max(MIN_REST);
        let limit = self.rest_limit(now).map_or(limit, |known| known.min(limit));
        info!(
            "event=kept_connection_lost rested_ms={} limit_ms={}",
            rested.as_millis(),
            limit.as_millis()
        );
        let mut rest_limit = self.rest_limit.lock().unwrap_or_else(PoisonError::into_inner);
        *rest_limit = Some((limit, now + REST_LIFETIME));
    }

    /// Keeps a connection whose last answer has been read in full.
    pub(crate) fn put(
        &self,
        upstream: &UpstreamId,
        connection: UpstreamConnection,
        stated: Option<Duration>,
    ) {
        let keep = stated.map_or(DEFAULT_KEEP, |stated| stated.saturating_sub(KEEP_RESERVE));
        let since = self.clock.now();
        let until = since + keep;
        let mut idle = self.idle.lock().unwrap_or_else(PoisonError::into_inner);
        if !idle.contains_key(upstream) {
            idle.insert(upstream.clone(), Vec::new());
        }
        let connections = idle.get_mut(upstream).expect("the upstream was just added");
        if connections.len() >= MAX_IDLE {
            connections.remove(0);
        }
        connections.push(IdleConnection { connection, since, until });
    }

    /// Closes connections to upstreams that are gone and those that were idle for too long.
    pub(crate) fn retain(&self, is_known: impl Fn(&UpstreamId) -> bool) {
        let now = self.clock.now();
        let mut idle = self.idle.lock().unwrap_or_else(PoisonError::into_inner);
        idle.retain(|upstream, connections| {
            connections.retain(|idle| now < idle.until);
            !connections.is_empty() && is_known(upstream)
        });
    }

    /// Opens a connection; `None` if that fails, in which case nothing was sent.
    pub(crate) async fn connect(&self, address: SocketAddr) -> Option<UpstreamConnection> {
        let stream = match timeout(CONNECT_TIMEOUT, TcpStream::connect(address)).await {
            Ok(Ok(stream)) => stream,
            Ok(Err(error)) => {
                debug!("event=connect_failed address={address} error=\"{error}\"");
                return None;
            }
            Err(_) => {
                debug!("event=connect_failed address={address} error=\"timeout\"");
                return None;
            }
        };
        bound_silence(&stream);
        match Builder::new().handshake(TokioIo::new(stream)).await {
            Ok((sender, connection)) => {
                let task = tokio::spawn(async move {
                    if let Err(error) = connection.await {
                        debug!(
                            "event=upstream_connection_ended address={address} error=\"{error}\""
                        );
                    }
                });
                Some(UpstreamConnection { sender, rested: None, task })
            }
            Err(error) => {
                debug!("event=connect_failed address={address} error=\"{error}\"");
                None
            }
        }
    }
}
