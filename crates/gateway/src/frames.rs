//! Frames between processes: a server, and a client that keeps idle channels.

use std::{collections::HashMap, io, net::SocketAddr, sync::Arc, time::Duration};

use base::Clock;
use futures_util::future::BoxFuture;
use log::{debug, warn};
use snafu::{IntoError, ResultExt, Snafu};
use socket2::SockRef;
use tokio::{
    net::{TcpListener, TcpStream},
    sync::Mutex,
    time::{sleep, timeout},
};
use wire::{ChannelError, ChannelLimits, FleetKey, FrameChannel, Payload};

/// Frames carry the whole knowledge of the fleet at most: a configuration of a megabyte and some thousand items.
const FRAME_LIMITS: ChannelLimits = ChannelLimits { max_frame_bytes: 8 << 20 };
/// A process on the platform's network answers a connection in milliseconds; a dead host never does.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(400);
/// Idle time after which the client does not reuse a channel, below that of the server.
const REUSE_IDLE: Duration = Duration::from_secs(4);
/// Idle time after which the server closes a channel.
const SERVER_IDLE: Duration = Duration::from_secs(8);
/// Pause after a connection could not be accepted, as when descriptors are short.
const ACCEPT_PAUSE: Duration = Duration::from_millis(10);
/// Connections that a server holds at most.
const MAX_CHANNELS: usize = 256;

/// Why a process cannot run, or a peer cannot be asked.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum NodeError {
    /// An address cannot be bound.
    #[snafu(display("cannot listen on {address}: {source}"))]
    Bind {
        /// The address.
        address: SocketAddr,
        /// What the system said.
        source: io::Error,
    },
    /// A thread or runtime cannot be started.
    #[snafu(display("cannot start a thread: {source}"))]
    Thread {
        /// What the system said.
        source: io::Error,
    },
    /// The handlers of signals cannot be installed.
    #[snafu(display("cannot handle signals: {source}"))]
    Signal {
        /// What the system said.
        source: io::Error,
    },
    /// A peer cannot be reached.
    #[snafu(display("cannot connect to peer {peer}: {source}"))]
    Connect {
        /// The peer.
        peer: SocketAddr,
        /// What the system said.
        source: io::Error,
    },
    /// The channel to a peer failed.
    #[snafu(display("channel to peer {peer}: {source}"))]
    Channel {
        /// The peer.
        peer: SocketAddr,
        /// What failed.
        source: ChannelError,
    },
    /// A peer gave no answer in time.
    #[snafu(display("peer {peer} gave no answer within {} ms", limit.as_millis()))]
    Silent {
        /// The peer.
        peer: SocketAddr,
        /// Time allowed.
        limit: Duration,
    },
}

/// Answers frames.
pub(crate) trait FrameHandler: Send + Sync {
    /// Answers one message; `None` closes the channel.
    fn answer(&self, payload: Payload) -> BoxFuture<'_, Option<Payload>>;
}

/// Serves the connections of a listener until the task is dropped.
pub(crate) async fn accept<F>(listener: TcpListener, serve: impl Fn(TcpStream) -> F)
where
    F: Future<Output = ()> + Send + 'static,
{
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                if let Err(error) = stream.set_nodelay(true) {
                    debug!("event=socket_option_failed error=\"{error}\"");
                }
                tokio::spawn(serve(stream));
            }
            Err(error) => {
                warn!("event=accept_failed error=\"{error}\"");
                sleep(ACCEPT_PAUSE).await;
            }
        }
    }
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
                sleep(ACCEPT_PAUSE).await;
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
    // Only a delay is lost if the option cannot be set.
    let _ = stream.set_nodelay(true);
    let mut channel = wire::accept(stream, key, name, FRAME_LIMITS).await?;
    while let Ok(payload) = timeout(SERVER_IDLE, channel.receiver.receive()).await {
        let Some(answer) = handler.answer(payload?).await else { break };
        channel.sender.send(answer).await?;
    }
    Ok(())
}

type PeerChannel = FrameChannel<TcpStream>;

/// Asks other processes.
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

    /// Sends a message and waits for the answer.
    pub(crate) async fn call(
        &self,
        peer: SocketAddr,
        payload: Payload,
        limit: Duration,
    ) -> Result<Payload, NodeError> {
        let exchange = async {
            let mut channel = match self.take_idle(peer).await {
                Some(channel) => channel,
                None => self.connect(peer).await?,
            };
            let answer = channel.call(payload).await.context(ChannelSnafu { peer })?;
            let now = self.clock.now();
            self.idle.lock().await.entry(peer).or_default().push((channel, now));
            Ok(answer)
        };
        timeout(limit, exchange).await.unwrap_or_else(|_| SilentSnafu { peer, limit }.fail())
    }

    async fn take_idle(&self, peer: SocketAddr) -> Option<PeerChannel> {
        let now = self.clock.now();
        let mut idle = self.idle.lock().await;
        idle.retain(|_, channels| {
            channels.retain(|(_, since)| now.saturating_duration_since(*since) < REUSE_IDLE);
            !channels.is_empty()
        });
        idle.get_mut(&peer)?.pop().map(|(channel, _)| channel)
    }

    async fn connect(&self, peer: SocketAddr) -> Result<PeerChannel, NodeError> {
        let stream = timeout(CONNECT_TIMEOUT, TcpStream::connect(peer))
            .await
            .map_err(|_| SilentSnafu { peer, limit: CONNECT_TIMEOUT }.build())?
            .context(ConnectSnafu { peer })?;
        bound_silence(&stream);
        wire::connect(stream, &self.key, &self.name, FRAME_LIMITS)
            .await
            .map_err(|error| ChannelSnafu { peer }.into_error(error))
    }
}

/// Bounds the time for which a connection to a dead host may hang, and sends without delay.
pub(crate) fn bound_silence(stream: &TcpStream) {
    const USER_TIMEOUT: Duration = Duration::from_secs(3);
    let socket = SockRef::from(stream);
    for result in [socket.set_tcp_nodelay(true), socket.set_tcp_user_timeout(Some(USER_TIMEOUT))] {
        if let Err(error) = result {
            debug!("event=socket_option_failed error=\"{error}\"");
        }
    }
}

/// Binds a TCP listener.
pub(crate) async fn bind(address: SocketAddr) -> Result<TcpListener, NodeError> {
    TcpListener::bind(address).await.context(BindSnafu { address })
}
