//! Request/response frames between processes: a server, and a client that reuses idle channels.

use std::{
    collections::HashMap,
    io,
    net::SocketAddr,
    pin::pin,
    sync::{
        Arc,
        atomic::{AtomicU64, Ordering},
    },
    time::Duration,
};

use base::{Clock, TransferLimits, TransferTimer};
use futures_util::future::BoxFuture;
use log::{debug, warn};
use snafu::{IntoError, ResultExt, Snafu};
use socket2::SockRef;
use tokio::{
    net::{TcpListener, TcpStream},
    sync::Mutex,
    time::{sleep, timeout, timeout_at},
};
use tokio_util::io::InspectReader;
use wire::{ChannelError, ChannelLimits, FleetKey, FrameChannel, Payload};

/// The largest frame holds the whole fleet state: a configuration of about a megabyte and a few thousand items.
const FRAME_LIMITS: ChannelLimits = ChannelLimits { max_frame_bytes: 8 << 20 };
/// Timeout for opening a channel: a live process on the platform's network accepts one within milliseconds, and a dead
/// host never does.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(400);
/// Idle time after which the client no longer reuses a channel. Shorter than [`SERVER_IDLE_TIMEOUT`], so that the
/// client does not pick a channel that the server is closing.
const MAX_REUSE_IDLE: Duration = Duration::from_secs(4);
/// Idle time after which the server closes a channel.
const SERVER_IDLE_TIMEOUT: Duration = Duration::from_secs(8);
/// Delay after a failed `accept`, for example when the process is out of file descriptors.
const ACCEPT_BACKOFF: Duration = Duration::from_millis(10);
/// Interval at which the progress of a transfer is checked.
const PROGRESS_INTERVAL: Duration = Duration::from_millis(100);
/// Maximum number of open channels per server.
const MAX_CHANNELS: usize = 256;

/// Reasons why a process cannot run or a request to a peer fails.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum NodeError {
    /// A listening address cannot be bound.
    #[snafu(display("cannot listen on {address}: {source}"))]
    Bind {
        /// Address that was to be bound.
        address: SocketAddr,
        /// Error of the operating system.
        source: io::Error,
    },
    /// A thread or an async runtime cannot be started.
    #[snafu(display("cannot start a thread: {source}"))]
    Thread {
        /// Error of the operating system.
        source: io::Error,
    },
    /// The signal handlers cannot be installed.
    #[snafu(display("cannot install signal handlers: {source}"))]
    Signal {
        /// Error of the operating system.
        source: io::Error,
    },
    /// The TCP connection to a peer failed.
    #[snafu(display("cannot connect to peer {peer}: {source}"))]
    Connect {
        /// Address of the peer.
        peer: SocketAddr,
        /// Error of the operating system.
        source: io::Error,
    },
    /// The channel to a peer failed during the handshake or while frames were exchanged.
    #[snafu(display("channel to peer {peer} failed: {source}"))]
    Channel {
        /// Address of the peer.
        peer: SocketAddr,
        /// Error of the channel.
        source: ChannelError,
    },
    /// A peer did not respond in time.
    #[snafu(display("peer {peer} did not respond within {} ms", limit.as_millis()))]
    Timeout {
        /// Address of the peer.
        peer: SocketAddr,
        /// Timeout that has passed.
        limit: Duration,
    },
}

/// Handles the frames that a server receives.
pub(crate) trait FrameHandler: Send + Sync {
    /// Returns the response to one message; `None` closes the channel.
    fn handle(&self, payload: Payload) -> BoxFuture<'_, Option<Payload>>;
}

/// Accepts connections and spawns a task for each, until the returned future is dropped.
pub(crate) async fn serve_connections<F>(listener: &TcpListener, serve: impl Fn(TcpStream) -> F)
where
    F: Future<Output = ()> + Send + 'static,
{
    loop {
        match listener.accept().await {
            Ok((stream, _)) => spawn_connection(stream, &serve),
            Err(error) => {
                warn!("event=accept_failed error=\"{error}\"");
                sleep(ACCEPT_BACKOFF).await;
            }
        }
    }
}

/// Closes a listener after it has accepted the connections that are complete. They would be reset otherwise, although
/// their callers may already have sent a request.
pub(crate) fn close_listener<F>(listener: TcpListener, serve: impl Fn(TcpStream) -> F)
where
    F: Future<Output = ()> + Send + 'static,
{
    let accept_all = || -> io::Result<()> {
        let listener = listener.into_std()?;
        loop {
            match listener.accept() {
                Ok((stream, _)) => {
                    stream.set_nonblocking(true)?;
                    spawn_connection(TcpStream::from_std(stream)?, &serve);
                }
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => return Ok(()),
                Err(error) => return Err(error),
            }
        }
    };
    if let Err(error) = accept_all() {
        warn!("event=accept_failed error=\"{error}\"");
    }
}

fn spawn_connection<F>(stream: TcpStream, serve: &impl Fn(TcpStream) -> F)
where
    F: Future<Output = ()> + Send + 'static,
{
    if let Err(error) = stream.set_nodelay(true) {
        debug!("event=socket_option_failed error=\"{error}\"");
    }
    tokio::spawn(serve(stream));
}

/// Serves frames on a listener until the task is dropped.
pub(crate) async fn serve_frames(
    listener: TcpListener,
    key: FleetKey,
    name: String,
    handler: Arc<dyn FrameHandler>,
) {
    let slots = Arc::new(tokio::sync::Semaphore::new(MAX_CHANNELS));
    loop {
        let Ok(slot) = slots.clone().acquire_owned().await else { return };
        let stream = match listener.accept().await {
            Ok((stream, _)) => stream,
            Err(error) => {
                warn!("event=accept_failed error=\"{error}\"");
                sleep(ACCEPT_BACKOFF).await;
                continue;
            }
        };
        let (key, name, handler) = (key.clone(), name.clone(), handler.clone());
        tokio::spawn(async move {
            let _slot = slot;
            if let Err(error) = serve_channel(stream, &key, &name, &*handler).await {
                debug!("event=channel_closed error=\"{error}\"");
            }
        });
    }
}

async fn serve_channel(
    stream: TcpStream,
    key: &FleetKey,
    name: &str,
    handler: &dyn FrameHandler,
) -> Result<(), ChannelError> {
    // Without the option, responses are only delayed.
    let _ = stream.set_nodelay(true);
    let mut channel = wire::accept(stream, key, name, FRAME_LIMITS).await?;
    while let Ok(payload) = timeout(SERVER_IDLE_TIMEOUT, channel.receiver.receive()).await {
        let Some(response) = handler.handle(payload?).await else { break };
        channel.sender.send(response).await?;
    }
    Ok(())
}

/// Connection that reports the bytes received.
type CountedStream = InspectReader<TcpStream, Box<dyn FnMut(&[u8]) + Send>>;

/// Open channel to a peer.
struct PeerChannel {
    frames: FrameChannel<CountedStream>,
    /// Number of bytes received, which shows the progress of a large frame.
    received: Arc<AtomicU64>,
}

/// Sends requests to other processes over channels that are kept for reuse.
pub(crate) struct FrameClient {
    key: FleetKey,
    name: String,
    clock: Arc<dyn Clock>,
    idle: Mutex<HashMap<SocketAddr, Vec<(PeerChannel, std::time::Instant)>>>,
}

impl FrameClient {
    pub(crate) fn new(key: FleetKey, name: String, clock: Arc<dyn Clock>) -> Self {
        Self { key, name, clock, idle: Mutex::default() }
    }

    /// Sends a message to a peer and waits at most `limit` for the response.
    pub(crate) async fn call(
        &self,
        peer: SocketAddr,
        payload: Payload,
        limit: Duration,
    ) -> Result<Payload, NodeError> {
        let exchange = async {
            let mut channel = self.open(peer).await?;
            self.exchange(peer, &mut channel, payload).await.map(|response| (channel, response))
        };
        let (channel, response) = timeout(limit, exchange)
            .await
            .unwrap_or_else(|_| TimeoutSnafu { peer, limit }.fail())?;
        self.keep(peer, channel).await;
        Ok(response)
    }

    /// Sends a message to a peer and waits for a response that may be large, as long as it makes progress.
    pub(crate) async fn transfer(
        &self,
        peer: SocketAddr,
        payload: Payload,
        limits: TransferLimits,
    ) -> Result<Payload, NodeError> {
        let limit = limits.head;
        let mut channel = timeout(limit, self.open(peer))
            .await
            .unwrap_or_else(|_| TimeoutSnafu { peer, limit }.fail())?;
        let counter = channel.received.clone();
        let mut received = counter.load(Ordering::Relaxed);
        let mut timer = TransferTimer::new(limits, self.clock.now());
        let result = {
            let mut exchange = pin!(self.exchange(peer, &mut channel, payload));
            loop {
                let wait_until = timer.deadline().min(self.clock.now() + PROGRESS_INTERVAL);
                if let Ok(result) = timeout_at(wait_until.into(), exchange.as_mut()).await {
                    break result;
                }
                let now = self.clock.now();
                let total = counter.load(Ordering::Relaxed);
                if total > received {
                    timer.record(usize::try_from(total - received).unwrap_or(usize::MAX), now);
                    received = total;
                } else if now >= timer.deadline() {
                    break TimeoutSnafu { peer, limit: timer.elapsed(now) }.fail();
                }
            }
        };
        let response = result?;
        self.keep(peer, channel).await;
        Ok(response)
    }

    /// Returns a channel that is kept for reuse, or a new one.
    async fn open(&self, peer: SocketAddr) -> Result<PeerChannel, NodeError> {
        match self.take_idle(peer).await {
            Some(channel) => Ok(channel),
            None => self.connect(peer).await,
        }
    }

    async fn exchange(
        &self,
        peer: SocketAddr,
        channel: &mut PeerChannel,
        payload: Payload,
    ) -> Result<Payload, NodeError> {
        channel.frames.call(payload).await.context(ChannelSnafu { peer })
    }

    /// Keeps a channel for reuse.
    async fn keep(&self, peer: SocketAddr, channel: PeerChannel) {
        let now = self.clock.now();
        self.idle.lock().await.entry(peer).or_default().push((channel, now));
    }

    async fn take_idle(&self, peer: SocketAddr) -> Option<PeerChannel> {
        let now = self.clock.now();
        let mut idle = self.idle.lock().await;
        idle.retain(|_, channels| {
            channels.retain(|(_, since)| now.saturating_duration_since(*since) < MAX_REUSE_IDLE);
            !channels.is_empty()
        });
        idle.get_mut(&peer)?.pop().map(|(channel, _)| channel)
    }

    async fn connect(&self, peer: SocketAddr) -> Result<PeerChannel, NodeError> {
        let stream = timeout(CONNECT_TIMEOUT, TcpStream::connect(peer))
            .await
            .map_err(|_| TimeoutSnafu { peer, limit: CONNECT_TIMEOUT }.build())?
            .context(ConnectSnafu { peer })?;
        set_socket_options(&stream);
        let received = Arc::new(AtomicU64::new(0));
        let counter = received.clone();
        let count = move |bytes: &[u8]| {
            counter.fetch_add(bytes.len() as u64, Ordering::Relaxed);
        };
        let stream: CountedStream = InspectReader::new(stream, Box::new(count));
        let frames = wire::connect(stream, &self.key, &self.name, FRAME_LIMITS)
            .await
            .map_err(|error| ChannelSnafu { peer }.into_error(error))?;
        Ok(PeerChannel { frames, received })
    }
}

/// Disables Nagle's algorithm, and limits how long the connection may hang when the remote host is dead.
pub(crate) fn set_socket_options(stream: &TcpStream) {
    const USER_TIMEOUT: Duration = Duration::from_secs(3);
    let socket = SockRef::from(stream);
    for result in [socket.set_tcp_nodelay(true), socket.set_tcp_user_timeout(Some(USER_TIMEOUT))] {
        if let Err(error) = result {
            debug!("event=socket_option_failed error=\"{error}\"");
        }
    }
}

pub(crate) async fn bind(address: SocketAddr) -> Result<TcpListener, NodeError> {
    TcpListener::bind(address).await.context(BindSnafu { address })
}
