//! Exchanges evidence of requests that crash upstreams with the other entries and the agents.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use futures_util::{StreamExt, future::BoxFuture, stream};
use log::{debug, warn};
use route::CrashEvidence;
use wire::{Ack, ChannelError, CrashNotice, Payload};

use super::{agents::AgentTable, state::SharedState};
use crate::{
    context::NodeContext,
    peer::PeerPool,
    server::{FrameHandler, ServerChannel},
    view::ViewReader,
};

/// Timeout for the acknowledgement of a notice. A receiver in another region responds within 10 ms. The response to the
/// caller waits for the acknowledgements, so a receiver that does not respond must not delay it much.
const NOTICE_TIMEOUT: Duration = Duration::from_millis(300);

/// Maximum number of notices in flight at once.
const MAX_CONCURRENT_NOTICES: usize = 128;

/// Sender and receiver of crash notices.
pub struct CrashNotifier {
    context: NodeContext,
    own_address: SocketAddr,
    view: ViewReader,
    agents: Arc<AgentTable>,
    state: Arc<SharedState>,
    pool: Arc<PeerPool>,
}

impl CrashNotifier {
    /// Creates the notifier; `own_address` is the peer address of this entry, to which it sends no notices.
    #[must_use]
    pub fn new(
        context: &NodeContext,
        own_address: SocketAddr,
        view: ViewReader,
        agents: Arc<AgentTable>,
        state: Arc<SharedState>,
        pool: Arc<PeerPool>,
    ) -> Arc<Self> {
        Arc::new(Self { context: context.clone(), own_address, view, agents, state, pool })
    }

    /// Sends evidence to all entries and to the agents that this entry probes, and waits for their acknowledgements or
    /// the timeout. If this entry does not probe all agents, the other entries forward the notice to those that they
    /// probe.
    pub async fn broadcast(&self, evidence: &CrashEvidence) {
        let agents = self.agents.peer_addresses();
        let view = self.view.get();
        let entries = view.iter().flat_map(|view| view.hosts.entries()).map(|host| host.peer);
        let mut receivers: Vec<_> = entries.filter(|peer| *peer != self.own_address).collect();
        let all_agents = view.as_ref().map_or(0, |view| view.hosts.agents().count());
        let hops = u32::from(all_agents > agents.len());
        receivers.extend(agents);
        warn!(
            "event=crash_notice fingerprint={} upstream={} crashes={} isolated={} cleared={} receivers={}",
            evidence.fingerprint,
            evidence.upstream,
            evidence.crashes,
            evidence.isolated,
            evidence.cleared,
            receivers.len(),
        );
        self.send(receivers, evidence, hops).await;
    }

    /// Sends evidence in a background task.
    pub fn broadcast_in_background(self: &Arc<Self>, evidence: CrashEvidence) {
        let notifier = self.clone();
        self.context.spawn_traffic(async move { notifier.broadcast(&evidence).await });
    }

    async fn send(&self, receivers: Vec<SocketAddr>, evidence: &CrashEvidence, hops: u32) {
        let notice = CrashNotice::new(evidence, hops);
        stream::iter(receivers)
            .for_each_concurrent(MAX_CONCURRENT_NOTICES, |peer| {
                let payload = Payload::CrashNotice(notice.clone());
                async move {
                    if let Err(error) = self.pool.exchange(peer, payload, NOTICE_TIMEOUT).await {
                        debug!("event=crash_notice_failed peer={peer} error=\"{error}\"");
                    }
                }
            })
            .await;
    }

    fn receive(&self, notice: &CrashNotice) -> Option<CrashEvidence> {
        let evidence = notice.evidence().ok()?;
        let now = self.context.clock.now();
        let changed = self.state.lock().crashes.apply_evidence(now, &evidence);
        (changed && notice.hops > 0).then_some(evidence)
    }
}

/// Handler of crash notices from other entries.
pub struct NoticeHandler(pub Arc<CrashNotifier>);

impl FrameHandler for NoticeHandler {
    fn accepts(&self, payload: &Payload) -> bool {
        matches!(payload, Payload::CrashNotice(_))
    }

    fn handle<'a>(
        &'a self,
        payload: Payload,
        channel: &'a mut ServerChannel,
    ) -> BoxFuture<'a, Result<(), ChannelError>> {
        Box::pin(async move {
            let Payload::CrashNotice(notice) = payload else {
                return Err(ChannelError::Unexpected);
            };
            if let Some(evidence) = self.0.receive(&notice) {
                let notifier = self.0.clone();
                let hops = notice.hops.min(1) - 1;
                self.0.context.spawn_traffic(async move {
                    notifier.send(notifier.agents.peer_addresses(), &evidence, hops).await;
                });
            }
            channel.sender.send(Payload::Ack(Ack {})).await
        })
    }
}
