//! Dedicated threads of one node of the fleet, so that it can be paused without affecting the others.

use std::{sync::Arc, time::Duration};

use base::Clock;
use node::{NodeContext, NodeThreads};

use crate::error::StandinError;

/// One control thread and one traffic thread of a node.
pub(super) struct HostThreads {
    threads: Option<NodeThreads>,
}

impl HostThreads {
    pub(super) fn new(host: &str) -> Result<Self, StandinError> {
        let threads = NodeThreads::with_traffic_threads(1);
        let threads = threads.map_err(|error| StandinError::Start {
            host: host.to_owned(),
            detail: error.to_string(),
        })?;
        Ok(Self { threads: Some(threads) })
    }

    pub(super) fn context(&self, clock: Arc<dyn Clock>) -> NodeContext {
        self.threads.as_ref().expect("threads are present until drop").context(clock)
    }

    /// Blocks both threads. Sockets stay open, and the operating system continues to accept connections on them.
    pub(super) fn pause(&self, duration: Duration) {
        let Some(threads) = &self.threads else { return };
        for handle in [threads.control(), threads.traffic().handle()] {
            handle.spawn(async move { std::thread::sleep(duration) });
        }
    }
}

impl Drop for HostThreads {
    fn drop(&mut self) {
        // A Tokio runtime must not be dropped on a thread that runs async tasks.
        let threads = self.threads.take();
        std::thread::spawn(move || drop(threads));
    }
}
