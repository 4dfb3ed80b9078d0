//! Clock, runtimes, shutdown signals and listening sockets that all tasks of a process share.

use std::{
    future::Future,
    net::{SocketAddr, TcpListener},
    sync::Arc,
};

use base::{Clock, Incarnation};
use config::settings::CommonSettings;
use snafu::{ResultExt, Snafu};
use tokio::runtime::{Builder, Handle, Runtime};
use tokio_util::sync::CancellationToken;

/// Error that prevents a process from starting.
#[derive(Debug, Snafu)]
pub enum NodeError {
    /// A listen address from the settings cannot be bound.
    #[snafu(display("cannot listen on {address}: {source}"))]
    Listen {
        /// Address from the settings.
        address: SocketAddr,
        /// Error from the operating system.
        source: std::io::Error,
    },
    /// A runtime or its thread cannot be started.
    #[snafu(display("cannot start a runtime: {source}"))]
    Runtime {
        /// Error from the operating system.
        source: std::io::Error,
    },
}

/// The two runtimes of a process: a single thread for control tasks and a thread pool for traffic.
///
/// Dropping it ends the control thread.
pub struct NodeThreads {
    control: Handle,
    traffic: Runtime,
    stop_control: CancellationToken,
}

impl NodeThreads {
    /// Starts the control thread and one traffic thread per CPU (the default of tokio).
    ///
    /// # Errors
    /// Fails if the operating system cannot start a thread.
    pub fn new() -> Result<Self, NodeError> {
        Self::with_builder(&mut Builder::new_multi_thread())
    }

    /// Starts the control thread and `count` traffic threads.
    ///
    /// # Errors
    /// Fails under the same conditions as [`NodeThreads::new`].
    pub fn with_traffic_threads(count: usize) -> Result<Self, NodeError> {
        Self::with_builder(Builder::new_multi_thread().worker_threads(count))
    }

    fn with_builder(builder: &mut Builder) -> Result<Self, NodeError> {
        let traffic = builder.enable_all().thread_name("traffic").build().context(RuntimeSnafu)?;
        let control = Builder::new_current_thread().enable_all().build().context(RuntimeSnafu)?;
        let handle = control.handle().clone();
        let stop_control = CancellationToken::new();
        let stopped = stop_control.clone();
        std::thread::Builder::new()
            .name("control".to_owned())
            .spawn(move || control.block_on(stopped.cancelled()))
            .context(RuntimeSnafu)?;
        Ok(Self { control: handle, traffic, stop_control })
    }

    /// Multi-threaded runtime for traffic.
    #[must_use]
    pub fn traffic(&self) -> &Runtime {
        &self.traffic
    }

    /// Handle of the single-threaded runtime for control tasks.
    #[must_use]
    pub fn control(&self) -> &Handle {
        &self.control
    }

    /// Creates the context of a node that runs on these threads.
    #[must_use]
    pub fn context(&self, clock: Arc<dyn Clock>) -> NodeContext {
        NodeContext::new(clock, self.control.clone(), self.traffic.handle().clone())
    }
}

impl Drop for NodeThreads {
    fn drop(&mut self) {
        self.stop_control.cancel();
    }
}

/// Context that the tasks of one node share; clones refer to the same node.
#[derive(Clone)]
pub struct NodeContext {
    /// Source of time; tests replace it.
    pub clock: Arc<dyn Clock>,
    /// Random id of this run of the process, new at each start.
    pub incarnation: Incarnation,
    /// Cancelled when a graceful shutdown begins; the node then accepts no new work.
    pub draining: CancellationToken,
    /// Cancelled when HTTP connections should close as soon as their current requests are complete.
    pub closing: CancellationToken,
    /// Cancelled when every task must end immediately.
    pub killed: CancellationToken,
    control: Handle,
    traffic: Handle,
}

impl NodeContext {
    /// Creates the context of a node whose control tasks run on `control` and whose traffic runs on `traffic`.
    #[must_use]
    pub fn new(clock: Arc<dyn Clock>, control: Handle, traffic: Handle) -> Self {
        Self {
            clock,
            incarnation: rand::random(),
            draining: CancellationToken::new(),
            closing: CancellationToken::new(),
            killed: CancellationToken::new(),
            control,
            traffic,
        }
    }

    /// Spawns a task on the control thread; it runs until it ends or the node is killed.
    pub fn spawn_control(&self, task: impl Future<Output = ()> + Send + 'static) {
        let killed = self.killed.clone();
        self.control.spawn(async move { killed.run_until_cancelled(task).await });
    }

    /// Spawns a task on the traffic threads; it runs until it ends or the node is killed.
    pub fn spawn_traffic(&self, task: impl Future<Output = ()> + Send + 'static) {
        let killed = self.killed.clone();
        self.traffic.spawn(async move { killed.run_until_cancelled(task).await });
    }
}

/// Listening sockets of a process. They are bound before the node starts, so tests can use port 0 and read the port.
pub struct NodeListeners {
    /// Accepts frames from other processes of the fleet.
    pub peer: TcpListener,
    /// Accepts requests to the administration API.
    pub admin: TcpListener,
    /// Accepts requests of callers; `None` on agents.
    pub http: Option<TcpListener>,
}

impl NodeListeners {
    /// Binds the peer and administration addresses of the settings, and `http` if given.
    ///
    /// # Errors
    /// Fails if an address cannot be bound.
    pub fn bind(common: &CommonSettings, http: Option<SocketAddr>) -> Result<Self, NodeError> {
        Ok(Self {
            peer: bind(common.peer_listen)?,
            admin: bind(common.admin_listen)?,
            http: http.map(bind).transpose()?,
        })
    }
}

/// Binds `address` to a non-blocking listener, as tokio requires.
///
/// # Errors
/// Fails if the address cannot be bound.
pub fn bind(address: SocketAddr) -> Result<TcpListener, NodeError> {
    let listener = TcpListener::bind(address).context(ListenSnafu { address })?;
    listener.set_nonblocking(true).context(ListenSnafu { address })?;
    Ok(listener)
}
