//! Accepts channels from other processes and dispatches their messages to handlers.

use std::{
    net::SocketAddr,
    sync::{
        Arc,
        atomic::{AtomicU64, Ordering},
    },
    time::Duration,
};

use base::HostId;
use futures_util::future::BoxFuture;
use log::{debug, warn};
use tokio::{
    net::{TcpListener, TcpStream},
    sync::Semaphore,
    time::timeout,
};
use wire::{ChannelError, ChannelLimits, FleetKey, FrameChannel, Payload};

use crate::context::NodeContext;

/// Maximum number of open channels; further connections wait in the accept queue of the operating system.
const MAX_CHANNELS: usize = 4096;
/// Idle time after which a channel is closed. Longer than the idle timeout of a client's pool, so that a pooled channel
/// is normally still open when it is reused.
const IDLE_TIMEOUT: Duration = Duration::from_secs(60);
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);

/// Frame channel over an accepted connection.
pub type ServerChannel = FrameChannel<TcpStream>;

/// Handles some types of messages from other processes.
pub trait FrameHandler: Send + Sync {
    /// True if this handler is responsible for the message.
    fn accepts(&self, payload: &Payload) -> bool;

    /// Handles the message and sends any response through `channel`.
    ///
    /// # Errors
    /// Any error closes the connection.
    fn handle<'a>(
        &'a self,
        payload: Payload,
        channel: &'a mut ServerChannel,
    ) -> BoxFuture<'a, Result<(), ChannelError>>;
}

/// Connection counters of a [`FrameServer`].
#[derive(Debug, Default)]
pub struct ServerCounters {
    /// Connections whose handshake succeeded.
    pub accepted: AtomicU64,
    /// Connections closed because of a frame that failed authentication, was too large or was not expected.
    pub rejected: AtomicU64,
}

/// Server for channels from other processes of the fleet.
pub struct FrameServer {
    key: FleetKey,
    host: HostId,
    handlers: Vec<Arc<dyn FrameHandler>>,
    /// Counters of accepted and rejected connections.
    pub counters: Arc<ServerCounters>,
}

impl FrameServer {
    /// Creates a server that passes each message to the first of `handlers` that accepts it.
    #[must_use]
    pub fn new(key: FleetKey, host: HostId, handlers: Vec<Arc<dyn FrameHandler>>) -> Arc<Self> {
        Arc::new(Self { key, host, handlers, counters: Arc::default() })
    }

    /// Accepts connections until the node is killed.
    pub fn spawn(self: &Arc<Self>, context: &NodeContext, listener: std::net::TcpListener) {
        let server = self.clone();
        let task_context = context.clone();
        context.spawn_traffic(async move {
            let listener =
                TcpListener::from_std(listener).expect("the listener is bound and non-blocking");
            server.accept_loop(&task_context, listener).await;
        });
    }

    async fn accept_loop(self: Arc<Self>, context: &NodeContext, listener: TcpListener) {
        let permits = Arc::new(Semaphore::new(MAX_CHANNELS));
        loop {
            let Ok(permit) = permits.clone().acquire_owned().await else { return };
            match listener.accept().await {
                Ok((stream, address)) => {
                    let server = self.clone();
                    context.spawn_traffic(async move {
                        server.serve(stream, address).await;
                        drop(permit);
                    });
                }
                Err(error) => {
                    warn!("event=accept_failed error=\"{error}\"");
                    tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
                }
            }
        }
    }

    async fn serve(&self, stream: TcpStream, address: SocketAddr) {
        let _ = stream.set_nodelay(true);
        let outcome = self.serve_channel(stream).await;
        if let Err(error) = outcome {
            match error {
                ChannelError::Closed | ChannelError::Connection { .. } => {
                    debug!("event=channel_closed peer={address} error=\"{error}\"");
                }
                _ => {
                    self.counters.rejected.fetch_add(1, Ordering::Relaxed);
                    warn!("event=channel_rejected peer={address} error=\"{error}\"");
                }
            }
        }
    }

    async fn serve_channel(&self, stream: TcpStream) -> Result<(), ChannelError> {
        let mut channel =
            wire::accept(stream, &self.key, &self.host, ChannelLimits::default()).await?;
        self.counters.accepted.fetch_add(1, Ordering::Relaxed);
        while let Ok(received) = timeout(IDLE_TIMEOUT, channel.receiver.receive()).await {
            let payload = received?;
            let handler = self.handlers.iter().find(|handler| handler.accepts(&payload));
            let handler = handler.ok_or(ChannelError::Unexpected)?;
            handler.handle(payload, &mut channel).await?;
        }
        Ok(())
    }
}
