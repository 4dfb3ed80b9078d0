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
use log::debug;
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

/// One connection. Dropping it closes it, which cancels whatever the upstream does for it.
pub(crate) struct UpstreamConnection {
    pub(crate) sender: SendRequest<Full<Bytes>>,
    task: JoinHandle<()>,
}

impl Drop for UpstreamConnection {
    fn drop(&mut self) {
        self.task.abort();
    }
}

/// Idle connections by upstream.
pub(crate) struct ConnectionPool {
    clock: Arc<dyn Clock>,
    idle: Mutex<HashMap<UpstreamId, Vec<(UpstreamConnection, Instant)>>>,
}

impl ConnectionPool {
    pub(crate) fn new(clock: Arc<dyn Clock>) -> Self {
        Self { clock, idle: Mutex::default() }
    }

    /// An idle connection that can still be used.
    pub(crate) fn take(&self, upstream: &UpstreamId) -> Option<UpstreamConnection> {
        let now = self.clock.now();
        let mut idle = self.idle.lock().unwrap_or_else(PoisonError::into_inner);
        let connections = idle.get_mut(upstream)?;
        while let Some((connection, until)) = connections.pop() {
            if now < until && connection.sender.is_ready() && !connection.sender.is_closed() {
                return Some(connection);
            }
        }
        None
    }

    /// Keeps a connection whose last answer has been read in full.
    pub(crate) fn put(
        &self,
        upstream: &UpstreamId,
        connection: UpstreamConnection,
        stated: Option<Duration>,
    ) {
        let keep = stated.map_or(DEFAULT_KEEP, |stated| stated.saturating_sub(KEEP_RESERVE));
        let until = self.clock.now() + keep;
        let mut idle = self.idle.lock().unwrap_or_else(PoisonError::into_inner);
        if !idle.contains_key(upstream) {
            idle.insert(upstream.clone(), Vec::new());
        }
        let connections = idle.get_mut(upstream).expect("the upstream was just added");
        if connections.len() >= MAX_IDLE {
            connections.remove(0);
        }
        connections.push((connection, until));
    }

    /// Closes connections to upstreams that are gone and those that were idle for too long.
    pub(crate) fn retain(&self, is_known: impl Fn(&UpstreamId) -> bool) {
        let now = self.clock.now();
        let mut idle = self.idle.lock().unwrap_or_else(PoisonError::into_inner);
        idle.retain(|upstream, connections| {
            connections.retain(|(_, until)| now < *until);
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
                Some(UpstreamConnection { sender, task })
            }
            Err(error) => {
                debug!("event=connect_failed address={address} error=\"{error}\"");
                None
            }
        }
    }
}
