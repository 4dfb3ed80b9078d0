//! Pooled channels to other processes of this system.

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
/// Idle channels kept for each address; more are closed after use.
const MAX_IDLE_CHANNELS: usize = 8;
/// Idle time after which a channel is closed. Without it, a process keeps sockets to every peer that it ever called: a
/// fleet of 11 processes under a mixed load held some 1,500.
const IDLE_LIMIT: Duration = Duration::from_secs(5);

/// Why an exchange with a peer failed.
#[derive(Debug, Snafu)]
pub enum PeerError {
    /// No connection; nothing was sent.
    #[snafu(display("cannot connect to {address}: {source}"))]
    Connect {
        /// Address of the peer.
        address: SocketAddr,
        /// What the operating system said.
        source: std::io::Error,
    },
    /// The peer did not answer in time.
    #[snafu(display("{address} did not answer within {} ms", limit.as_millis()))]
    Timeout {
        /// Address of the peer.
        address: SocketAddr,
        /// Time allowed.
        limit: Duration,
    },
    /// The channel failed after the connection was made.
    #[snafu(display("exchange with {address} failed: {source}"))]
    Channel {
        /// Address of the peer.
        address: SocketAddr,
        /// What went wrong.
        source: ChannelError,
    },
}

/// Opens channels to peers and keeps idle ones.
pub struct PeerPool {
    key: FleetKey,
    host: HostId,
    limits: ChannelLimits,
    idle: Mutex<IdleChannels>,
}

/// Idle channels by address, each with the time since which it is idle.
#[derive(Default)]
struct IdleChannels {
    channels: HashMap<SocketAddr, Vec<(Instant, FrameChannel<TcpStream>)>>,
    last_sweep: Option<Instant>,
}

impl IdleChannels {
    /// Closes the channels that have been idle for too long, at most once in [`IDLE_LIMIT`].
    fn sweep(&mut self, now: Instant) {
        if self.last_sweep.is_some_and(|last| now.saturating_duration_since(last) < IDLE_LIMIT) {
            return;
        }
        self.last_sweep = Some(now);
        self.channels.retain(|_, channels| {
            channels.retain(|(since, _)| now.saturating_duration_since(*since) < IDLE_LIMIT);
            !channels.is_empty()
        });
    }
}

/// A channel in use; it is closed on drop unless [`PeerChannel::release`] was called after a whole exchange.
pub struct PeerChannel {
    pool: Arc<PeerPool>,
    /// Address of the peer.
    pub address: SocketAddr,
    /// The channel.
    pub channel: FrameChannel<TcpStream>,
    /// True if the channel was idle before; the peer may have closed it meanwhile.
    pub reused: bool,
}

impl PeerPool {
    /// Creates a pool.
    #[must_use]
    pub fn new(key: FleetKey, host: HostId) -> Arc<Self> {
        let idle = Mutex::default();
        Arc::new(Self { key, host, limits: ChannelLimits::default(), idle })
    }

    /// Takes an idle channel or opens one.
    ///
    /// # Errors
    /// Fails if no connection can be made or the handshake fails.
    pub async fn open(self: &Arc<Self>, address: SocketAddr) -> Result<PeerChannel, PeerError> {
        let idle = self.lock().channels.get_mut(&address).and_then(Vec::pop);
        match idle {
            Some((_, channel)) => {
                Ok(PeerChannel { pool: self.clone(), address, channel, reused: true })
            }
            None => self.open_new(address).await,
        }
    }

    /// Opens a new channel.
    ///
    /// # Errors
    /// Fails as [`PeerPool::open`] does.
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

    /// Sends one message and waits for one answer, at most `limit`. A channel that was idle is replaced once, so the
    /// message has to be idempotent.
    ///
    /// # Errors
    /// Fails if there is no connection, no answer in time or the channel breaks.
    pub async fn call(
        self: &Arc<Self>,
        address: SocketAddr,
        payload: Payload,
        limit: Duration,
    ) -> Result<Payload, PeerError> {
        let exchange = async {
            let mut peer = self.open(address).await?;
            let mut answer = peer.channel.call(payload.clone()).await;
            if answer.is_err() && peer.reused {
                peer = self.open_new(address).await?;
                answer = peer.channel.call(payload).await;
            }
            let answer = answer.context(ChannelSnafu { address })?;
            peer.release();
            Ok(answer)
        };
        timeout(limit, exchange).await.map_err(|_| PeerError::Timeout { address, limit })?
    }

    /// Closes the idle channels of an address.
    pub fn forget(&self, address: SocketAddr) {
        self.lock().channels.remove(&address);
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, IdleChannels> {
        self.idle.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl PeerChannel {
    /// Gives the channel back after a whole exchange.
    pub fn release(self) {
        let now = Instant::now();
        let mut idle = self.pool.lock();
        idle.sweep(now);
        let channels = idle.channels.entry(self.address).or_default();
        if channels.len() < MAX_IDLE_CHANNELS {
            channels.push((now, self.channel));
        }
    }
}
