//! What this entry knows of the agents it probes.

use std::{
    collections::HashMap,
    net::SocketAddr,
    sync::{Arc, Mutex, PoisonError},
    time::Duration,
};

use base::{DataCentreId, UpstreamId};
use config::HostState;
use serde_json::{Value, json};
use wire::{Payload, StatusReply, StatusRequest};

use crate::{context::NodeContext, peer::PeerPool, view::ViewReader};

const PROBE_INTERVAL: Duration = Duration::from_millis(500);
const PROBE_TIMEOUT: Duration = Duration::from_millis(400);

/// An agent and its latest status.
#[derive(Clone, Debug)]
pub struct KnownAgent {
    /// Upstream beside the agent.
    pub upstream: UpstreamId,
    /// Data centre of its host.
    pub data_centre: DataCentreId,
    /// Address for frames.
    pub peer: SocketAddr,
    /// True if the host list says that the host leaves.
    pub leaving: bool,
    /// Latest status; `None` if the last probe failed.
    pub status: Option<StatusReply>,
}

impl KnownAgent {
    /// State for operators.
    #[must_use]
    pub fn to_json(&self) -> Value {
        let status = self.status.as_ref();
        json!({
            "upstream": self.upstream,
            "data_centre": self.data_centre,
            "peer": self.peer,
            "leaving": self.leaving,
            "reachable": status.is_some(),
            "draining": status.map(|status| status.draining),
            "upstream_up": status.map(|status| status.upstream_up),
            "revision": status.map(|status| status.revision),
            "limit": status.map(|status| status.load.limit),
            "in_use": status.map(|status| status.load.in_use),
            "queued": status.map(|status| status.load.queued),
            "ready": status.map(|status| {
                status.ready.iter().map(|ready| json!({
                    "model": ready.model,
                    "manifest": base::ContentDigest::from_slice(&ready.manifest).map(|digest| digest.to_string()).ok(),
                })).collect::<Vec<_>>()
            }),
        })
    }
}

/// Table of agents, refreshed by probes.
#[derive(Default)]
pub struct AgentTable {
    agents: Mutex<HashMap<UpstreamId, KnownAgent>>,
}

impl AgentTable {
    /// Starts probing.
    #[must_use]
    pub fn spawn(context: &NodeContext, view: ViewReader, pool: Arc<PeerPool>) -> Arc<Self> {
        let table = Arc::new(Self::default());
        let task_table = table.clone();
        context.spawn_control(async move {
            loop {
                task_table.probe_all(&view, &pool).await;
                tokio::time::sleep(PROBE_INTERVAL).await;
            }
        });
        table
    }

    /// All known agents.
    #[must_use]
    pub fn list(&self) -> Vec<KnownAgent> {
        self.agents.lock().unwrap_or_else(PoisonError::into_inner).values().cloned().collect()
    }

    async fn probe_all(&self, view: &ViewReader, pool: &Arc<PeerPool>) {
        let Some(view) = view.get() else { return };
        let probes = view.hosts.agents().filter_map(|host| {
            let upstream = host.upstream.clone()?;
            let pool = pool.clone();
            let request = Payload::StatusRequest(StatusRequest {});
            Some(async move {
                let status = match pool.call(host.peer, request, PROBE_TIMEOUT).await {
                    Ok(Payload::StatusReply(status)) => Some(status),
                    _ => None,
                };
                KnownAgent {
                    upstream,
                    data_centre: host.data_centre.clone(),
                    peer: host.peer,
                    leaving: host.state == HostState::Leaving,
                    status,
                }
            })
        });
        let known = futures_util::future::join_all(probes).await;
        let known = known.into_iter().map(|agent| (agent.upstream.clone(), agent)).collect();
        *self.agents.lock().unwrap_or_else(PoisonError::into_inner) = known;
    }
}
