//! What every part of a process needs: clock, threads, stop signals and listeners.

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

/// Why a process cannot start.
#[derive(Debug, Snafu)]
pub enum NodeError {
    /// An address of the settings cannot be used.
    #[snafu(display("cannot listen on {address}: {source}"))]
    Listen {
        /// The address.
        address: SocketAddr,
        /// What the operating system said.
        source: std::io::Error,
    },
    /// A thread cannot be started.
    #[snafu(display("cannot start a runtime: {source}"))]
    Threads {
        /// What the operating system said.
        source: std::io::Error,
    },
}

/// The two runtimes of a process: one thread for control state, the others for traffic.
pub struct NodeThreads {
    control: Handle,
    traffic: Runtime,
    stop_control: CancellationToken,
}

impl NodeThreads {
    /// Starts the control thread and the traffic threads.
    ///
    /// # Errors
    /// Fails if the operating system refuses a thread.
    pub fn new() -> Result<Self, NodeError> {
        Self::with_builder(&mut Builder::new_multi_thread())
    }

    /// Starts the control thread and `count` traffic threads.
    ///
    /// # Errors
    /// Fails as [`NodeThreads::new`] does.
    pub fn with_traffic_threads(count: usize) -> Result<Self, NodeError> {
        Self::with_builder(Builder::new_multi_thread().worker_threads(count))
    }

    fn with_builder(builder: &mut Builder) -> Result<Self, NodeError> {
        let traffic = builder.enable_all().thread_name("traffic").build().context(ThreadsSnafu)?;
        let control = Builder::new_current_thread().enable_all().build().context(ThreadsSnafu)?;
        let handle = control.handle().clone();
        let stop_control = CancellationToken::new();
        let stopped = stop_control.clone();
        std::thread::Builder::new()
            .name("control".to_owned())
            .spawn(move || control.block_on(stopped.cancelled()))
            .context(ThreadsSnafu)?;
        Ok(Self { control: handle, traffic, stop_control })
    }

    /// Runtime of the traffic threads.
    #[must_use]
    pub fn traffic(&self) -> &Runtime {
        &self.traffic
    }

    /// Runtime of the control thread.
    #[must_use]
    pub fn control(&self) -> &Handle {
        &self.control
    }

    /// Context for one node on these threads.
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

/// Shared context of the tasks of one node.
#[derive(Clone)]
pub struct NodeContext {
    /// The clock.
    pub clock: Arc<dyn Clock>,
    /// Random id of this run of the process.
    pub incarnation: Incarnation,
    /// Cancelled when a planned stop begins: no new work from here on.
    pub draining: CancellationToken,
    /// Cancelled when HTTP connections close as soon as their requests are answered.
    pub closing: CancellationToken,
    /// Cancelled when every task has to end at once.
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

    /// Runs a task of control state until it ends or the node is killed.
    pub fn spawn_control(&self, task: impl Future<Output = ()> + Send + 'static) {
        let killed = self.killed.clone();
        self.control.spawn(async move { killed.run_until_cancelled(task).await });
    }

    /// Runs a traffic task until it ends or the node is killed.
    pub fn spawn_traffic(&self, task: impl Future<Output = ()> + Send + 'static) {
        let killed = self.killed.clone();
        self.traffic.spawn(async move { killed.run_until_cancelled(task).await });
    }
}

/// Listening sockets of a process, bound before it starts so that tests can use port 0.
pub struct NodeListeners {
    /// For frames of other processes.
    pub peer: TcpListener,
    /// For the administration API.
    pub admin: TcpListener,
    /// For callers; entries only.
    pub http: Option<TcpListener>,
}

impl NodeListeners {
    /// Binds the addresses of the settings.
    ///
    /// # Errors
    /// Fails if an address cannot be used.
    pub fn bind(common: &CommonSettings, http: Option<SocketAddr>) -> Result<Self, NodeError> {
        Ok(Self {
            peer: bind(common.peer_listen)?,
            admin: bind(common.admin_listen)?,
            http: http.map(bind).transpose()?,
        })
    }
}

/// Binds one address for tokio.
///
/// # Errors
/// Fails if the address cannot be used.
pub fn bind(address: SocketAddr) -> Result<TcpListener, NodeError> {
    let listener = TcpListener::bind(address).context(ListenSnafu { address })?;
    listener.set_nonblocking(true).context(ListenSnafu { address })?;
    Ok(listener)
}
