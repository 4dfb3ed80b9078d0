//! Connection pool for channels to other processes of the fleet.

use std::{
    collections::HashMap,
    net::SocketAddr,
    sync::{Arc, Mutex, PoisonError},
    time::{Duration, Instant},
};

use base::HostId;
use snafu::{ResultExt, Snafu};
use tokio::{net::TcpStream, time::timeout};
use wire::{ChannelError, ChannelLimits, FleetKey, FrameChannel, Payload};

const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
/// Maximum number of idle channels kept per address; further channels are closed after use.
const MAX_IDLE_CHANNELS: usize = 8;
/// Idle time after which a channel is closed. Without this timeout a process keeps sockets to every peer that it has
/// ever contacted; a fleet of 11 processes under mixed load held about 1,500.
const IDLE_TIMEOUT: Duration = Duration::from_secs(5);

/// Error of an exchange with a peer.
#[derive(Debug, Snafu)]
pub enum PeerError {
    /// The connection could not be opened; nothing was sent.
    #[snafu(display("cannot connect to {address}: {source}"))]
    Connect {
        /// Address of the peer.
        address: SocketAddr,
        /// Error from the operating system.
        source: std::io::Error,
    },
    /// The peer did not respond in time.
    #[snafu(display("{address} did not respond within {} ms", limit.as_millis()))]
    Timeout {
        /// Address of the peer.
        address: SocketAddr,
        /// Timeout that was exceeded.
        limit: Duration,
    },
    /// The channel failed after the TCP connection was established, possibly after the message was sent.
    #[snafu(display("exchange with {address} failed: {source}"))]
    Channel {
        /// Address of the peer.
        address: SocketAddr,
        /// Error of the channel.
        source: ChannelError,
    },
}

/// Opens channels to peers and keeps idle ones for reuse.
pub struct PeerPool {
    key: FleetKey,
    host: HostId,
    limits: ChannelLimits,
    idle: Mutex<IdleChannels>,
}

/// Idle channels by address, each with the time at which it was released.
#[derive(Default)]
struct IdleChannels {
    channels: HashMap<SocketAddr, Vec<(Instant, FrameChannel<TcpStream>)>>,
    last_cleanup: Option<Instant>,
}

impl IdleChannels {
    /// Closes the channels that have been idle for [`IDLE_TIMEOUT`]. Does nothing if called again within that time.
    fn close_expired(&mut self, now: Instant) {
        if self.last_cleanup.is_some_and(|last| now.saturating_duration_since(last) < IDLE_TIMEOUT)
        {
            return;
        }
        self.last_cleanup = Some(now);
        self.channels.retain(|_, channels| {
            channels.retain(|(since, _)| now.saturating_duration_since(*since) < IDLE_TIMEOUT);
            !channels.is_empty()
        });
    }
}

/// A channel taken from the pool. Dropping it closes the connection; [`PeerChannel::release`] returns it to the pool.
pub struct PeerChannel {
    pool: Arc<PeerPool>,
    /// Address of the peer.
    pub address: SocketAddr,
    /// Frame channel over the connection.
    pub channel: FrameChannel<TcpStream>,
    /// True if the channel came from the pool, in which case the peer may have closed it since.
    pub reused: bool,
}

impl PeerPool {
    /// Creates an empty pool. `key` authenticates the channels, and `host` is the own host id sent in the handshake.
    #[must_use]
    pub fn new(key: FleetKey, host: HostId) -> Arc<Self> {
        let idle = Mutex::default();
        Arc::new(Self { key, host, limits: ChannelLimits::default(), idle })
    }

    /// Takes an idle channel from the pool, or opens a new one.
    ///
    /// # Errors
    /// Fails if the connection or the handshake fails.
    pub async fn open(self: &Arc<Self>, address: SocketAddr) -> Result<PeerChannel, PeerError> {
        let idle = self.lock().channels.get_mut(&address).and_then(Vec::pop);
        match idle {
            Some((_, channel)) => {
                Ok(PeerChannel { pool: self.clone(), address, channel, reused: true })
            }
            None => self.open_new(address).await,
        }
    }

    /// Opens a new channel, even if an idle one is available.
    ///
    /// # Errors
    /// Fails under the same conditions as [`PeerPool::open`].
    pub async fn open_new(self: &Arc<Self>, address: SocketAddr) -> Result<PeerChannel, PeerError> {
        let connecting = timeout(CONNECT_TIMEOUT, TcpStream::connect(address));
        let stream =
            connecting.await.map_err(|_| PeerError::Timeout { address, limit: CONNECT_TIMEOUT })?;
        let stream = stream.context(ConnectSnafu { address })?;
        stream.set_nodelay(true).context(ConnectSnafu { address })?;
        let channel = wire::connect(stream, &self.key, &self.host, self.limits)
            .await
            .context(ChannelSnafu { address })?;
        Ok(PeerChannel { pool: self.clone(), address, channel, reused: false })
    }

    /// Sends one message and waits for one response, for `limit` at most. If a pooled channel fails, the message is
    /// sent once more over a new one, so it must be idempotent.
    ///
    /// # Errors
    /// Fails if the connection cannot be opened, the channel fails, or no response arrives in time.
    pub async fn exchange(
        self: &Arc<Self>,
        address: SocketAddr,
        payload: Payload,
        limit: Duration,
    ) -> Result<Payload, PeerError> {
        let exchange = async {
            let mut peer = self.open(address).await?;
            let mut response = peer.channel.call(payload.clone()).await;
            if response.is_err() && peer.reused {
                peer = self.open_new(address).await?;
                response = peer.channel.call(payload).await;
            }
            let response = response.context(ChannelSnafu { address })?;
            peer.release();
            Ok(response)
        };
        timeout(limit, exchange).await.map_err(|_| PeerError::Timeout { address, limit })?
    }

    /// Closes the idle channels of an address.
    pub fn close_idle(&self, address: SocketAddr) {
        self.lock().channels.remove(&address);
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, IdleChannels> {
        self.idle.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl PeerChannel {
    /// Returns the channel to the pool. Call it only after a complete exchange; otherwise the next user would receive
    /// the rest of this one.
    pub fn release(self) {
        let now = Instant::now();
        let mut idle = self.pool.lock();
        idle.close_expired(now);
        let channels = idle.channels.entry(self.address).or_default();
        if channels.len() < MAX_IDLE_CHANNELS {
            channels.push((now, self.channel));
        }
    }
}
