//! Shares evidence of requests that crash upstreams with the other entries and with the agents.

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

/// Longest wait for the acknowledgements before the caller is answered. A receiver in another region answers within
/// 10 ms; one that does not answer must not hold up the caller.
const NOTICE_TIMEOUT: Duration = Duration::from_millis(300);

/// Notices that are on their way at once.
const NOTICES_AT_ONCE: usize = 128;

/// Sends and receives crash notices.
pub struct NoticeBoard {
    context: NodeContext,
    own_peer: SocketAddr,
    view: ViewReader,
    agents: Arc<AgentTable>,
    state: Arc<SharedState>,
    pool: Arc<PeerPool>,
}

impl NoticeBoard {
    /// Creates the board; `own_peer` is the address that receives no notice of this entry.
    #[must_use]
    pub fn new(
        context: &NodeContext,
        own_peer: SocketAddr,
        view: ViewReader,
        agents: Arc<AgentTable>,
        state: Arc<SharedState>,
        pool: Arc<PeerPool>,
    ) -> Arc<Self> {
        Arc::new(Self { context: context.clone(), own_peer, view, agents, state, pool })
    }

    /// Sends evidence to all entries and to the agents that this entry probes, and waits until they have it. Entries
    /// pass it on to the agents that they probe if this entry does not know them all.
    pub async fn share(&self, evidence: &CrashEvidence) {
        let agents = self.agents.peers();
        let view = self.view.get();
        let entries = view.iter().flat_map(|view| view.hosts.entries()).map(|host| host.peer);
        let mut receivers: Vec<_> = entries.filter(|peer| *peer != self.own_peer).collect();
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

    /// Sends evidence without waiting.
    pub fn share_later(self: &Arc<Self>, evidence: CrashEvidence) {
        let board = self.clone();
        self.context.spawn_traffic(async move { board.share(&evidence).await });
    }

    async fn send(&self, receivers: Vec<SocketAddr>, evidence: &CrashEvidence, hops: u32) {
        let notice = CrashNotice::new(evidence, hops);
        stream::iter(receivers)
            .for_each_concurrent(NOTICES_AT_ONCE, |peer| {
                let payload = Payload::CrashNotice(notice.clone());
                async move {
                    if let Err(error) = self.pool.call(peer, payload, NOTICE_TIMEOUT).await {
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

/// Handler of crash notices from other processes.
pub struct NoticeHandler(pub Arc<NoticeBoard>);

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
                let board = self.0.clone();
                let hops = notice.hops.min(1) - 1;
                self.0.context.spawn_traffic(async move {
                    board.send(board.agents.peers(), &evidence, hops).await;
                });
            }
            channel.sender.send(Payload::Ack(Ack {})).await
        })
    }
}
