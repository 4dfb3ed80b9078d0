//! Watches the revision that each process has in force, by its administration API.

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
    http_client::{HttpCall, HttpClient},
};

const LOOK_INTERVAL: Duration = Duration::from_millis(50);
const LOOK_TIMEOUT: Duration = Duration::from_millis(500);
/// Longest wait for a revision to be in force everywhere.
const WAIT_LIMIT: Duration = Duration::from_secs(12);

#[derive(Deserialize)]
struct StatusAnswer {
    revision: Option<Revision>,
}

#[derive(Debug, Default)]
struct RevisionLog {
    latest: HashMap<HostId, Revision>,
    reverts: u64,
}

/// Looks at every process again and again.
pub(super) struct RevisionWatch {
    log: Arc<Mutex<RevisionLog>>,
    stop: CancellationToken,
}

impl RevisionWatch {
    /// Starts to look at the processes of the layout.
    pub(super) fn start(fleet: &StandinFleet) -> Self {
        let log: Arc<Mutex<RevisionLog>> = Arc::default();
        let stop = CancellationToken::new();
        let layout = &fleet.platform.layout;
        for plan in layout.entries.iter().chain(&layout.agents) {
            let (log, stop) = (Arc::clone(&log), stop.clone());
            let target = (plan.id.clone(), plan.admin);
            tokio::spawn(async move { stop.run_until_cancelled(look(target, log)).await });
        }
        for plan in &layout.agents {
            let HostPlan { id, admin, .. } = layout.replacement(plan);
            let (log, stop) = (Arc::clone(&log), stop.clone());
            tokio::spawn(async move { stop.run_until_cancelled(look((id, admin), log)).await });
        }
        Self { log, stop }
    }

    /// Waits until every process seen so far has `revision` in force, but those that are gone; returns the time since
    /// `published`.
    pub(super) async fn wait_in_force(
        &self,
        revision: Revision,
        published: Instant,
        gone: &[HostId],
    ) -> Duration {
        while published.elapsed() < WAIT_LIMIT {
            let behind = lock(&self.log)
                .latest
                .iter()
                .any(|(host, latest)| *latest < revision && !gone.contains(host));
            if !behind {
                break;
            }
            tokio::time::sleep(LOOK_INTERVAL).await;
        }
        published.elapsed()
    }

    /// Stops looking; returns how often a process had a lower revision in force than before, restarts included.
    pub(super) fn stop(&self) -> u64 {
        self.stop.cancel();
        lock(&self.log).reverts
    }
}

async fn look((host, admin): (HostId, SocketAddr), log: Arc<Mutex<RevisionLog>>) {
    let client = HttpClient::new();
    loop {
        let call = HttpCall::new(Method::GET, admin, "/admin/v1/status");
        if let Ok(Ok(answer)) = tokio::time::timeout(LOOK_TIMEOUT, client.send(call)).await
            && let Ok(StatusAnswer { revision: Some(revision) }) = answer.json()
            && revision > 0
        {
            let mut log = lock(&log);
            let latest = log.latest.entry(host.clone()).or_default();
            let reverted = revision < *latest;
            *latest = (*latest).max(revision);
            log.reverts += u64::from(reverted);
        }
        tokio::time::sleep(LOOK_INTERVAL).await;
    }
}
