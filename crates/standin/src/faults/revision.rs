//! Monitors the active configuration revision of each process through its admin API.

use std::{
    collections::HashMap,
    net::SocketAddr,
    sync::{Arc, Mutex},
    time::{Duration, Instant},
};

use base::{HostId, Revision};
use hyper::Method;
use serde::Deserialize;
use tokio_util::sync::CancellationToken;

use crate::{
    fleet::{StandinFleet, layout::HostPlan},
    http::lock,
    http_client::{HttpClient, HttpRequest},
};

const POLL_INTERVAL: Duration = Duration::from_millis(50);
const STATUS_TIMEOUT: Duration = Duration::from_millis(500);
/// Maximum time to wait for a revision to become active everywhere.
const IN_FORCE_TIMEOUT: Duration = Duration::from_secs(12);

#[derive(Deserialize)]
struct StatusResponse {
    revision: Option<Revision>,
}

#[derive(Debug, Default)]
struct RevisionLog {
    latest: HashMap<HostId, Revision>,
    reverts: u64,
}

/// Polls the status of every process and records its active revision.
pub(super) struct RevisionMonitor {
    log: Arc<Mutex<RevisionLog>>,
    stop: CancellationToken,
}

impl RevisionMonitor {
    /// Starts polling the processes of the layout, including possible replacements of the agents.
    pub(super) fn start(fleet: &StandinFleet) -> Self {
        let log: Arc<Mutex<RevisionLog>> = Arc::default();
        let stop = CancellationToken::new();
        let layout = &fleet.platform.layout;
        for plan in layout.entries.iter().chain(&layout.agents) {
            let (log, stop) = (Arc::clone(&log), stop.clone());
            let target = (plan.id.clone(), plan.admin);
            tokio::spawn(async move { stop.run_until_cancelled(poll_revision(target, log)).await });
        }
        for plan in &layout.agents {
            let HostPlan { id, admin, .. } = layout.replacement(plan);
            let (log, stop) = (Arc::clone(&log), stop.clone());
            tokio::spawn(
                async move { stop.run_until_cancelled(poll_revision((id, admin), log)).await },
            );
        }
        Self { log, stop }
    }

    /// Waits until `revision` is active on every process seen so far except those in `gone`. Returns the time since
    /// `published`, also if the wait timed out.
    pub(super) async fn wait_in_force(
        &self,
        revision: Revision,
        published: Instant,
        gone: &[HostId],
    ) -> Duration {
        while published.elapsed() < IN_FORCE_TIMEOUT {
            let is_pending = lock(&self.log)
                .latest
                .iter()
                .any(|(host, latest)| *latest < revision && !gone.contains(host));
            if !is_pending {
                break;
            }
            tokio::time::sleep(POLL_INTERVAL).await;
        }
        published.elapsed()
    }

    /// Stops polling. Returns how often a process had a lower active revision than before, including after restarts.
    pub(super) fn stop(&self) -> u64 {
        self.stop.cancel();
        lock(&self.log).reverts
    }
}

async fn poll_revision((host, admin): (HostId, SocketAddr), log: Arc<Mutex<RevisionLog>>) {
    let client = HttpClient::new();
    loop {
        let request = HttpRequest::new(Method::GET, admin, "/admin/v1/status");
        if let Ok(Ok(response)) = tokio::time::timeout(STATUS_TIMEOUT, client.send(request)).await
            && let Ok(StatusResponse { revision: Some(revision) }) = response.json()
            && revision > 0
        {
            let mut log = lock(&log);
            let latest = log.latest.entry(host.clone()).or_default();
            let reverted = revision < *latest;
            *latest = (*latest).max(revision);
            log.reverts += u64::from(reverted);
        }
        tokio::time::sleep(POLL_INTERVAL).await;
    }
}
