//! Forwards one request to an agent.

use std::{
    sync::{
        Arc,
        atomic::{AtomicU32, AtomicU64, Ordering},
    },
    time::Duration,
};

use base::{Outcome, RefusalReason};
use bytes::Bytes;
use rand::seq::IndexedRandom;
use tokio::time::timeout;
use wire::{Forward, Head, Payload};

use super::agents::{AgentTable, KnownAgent};
use crate::{
    context::NodeContext,
    peer::{PeerChannel, PeerPool},
    view::ViewReader,
};

const RETRY_AFTER: Duration = Duration::from_millis(250);
const FINISH_POLL: Duration = Duration::from_millis(20);

/// A request that was not answered.
#[derive(Clone, Copy, Debug)]
pub struct ForwardRefusal {
    /// What the caller may conclude.
    pub outcome: Outcome,
    /// Why.
    pub reason: RefusalReason,
    /// When a new attempt makes sense.
    pub retry_after: Duration,
}

/// An answer that has started to arrive.
pub struct StartedAnswer {
    /// Start of the answer.
    pub head: Head,
    /// Channel on which the rest arrives.
    pub channel: PeerChannel,
    /// Counts the request as in progress until it is dropped.
    pub guard: ProgressGuard,
}

/// Counts a request as in progress.
pub struct ProgressGuard(Arc<AtomicU32>);

impl Drop for ProgressGuard {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::Relaxed);
    }
}

/// Chooses agents and forwards requests.
pub struct Forwarder {
    view: ViewReader,
    agents: Arc<AgentTable>,
    pool: Arc<PeerPool>,
    in_progress: Arc<AtomicU32>,
    next_id: AtomicU64,
}

impl Forwarder {
    /// Creates a forwarder.
    #[must_use]
    pub fn new(
        _context: &NodeContext,
        view: ViewReader,
        agents: Arc<AgentTable>,
        pool: Arc<PeerPool>,
    ) -> Arc<Self> {
        let next_id = AtomicU64::new(rand::random());
        Arc::new(Self { view, agents, pool, in_progress: Arc::default(), next_id })
    }

    /// Waits until nothing is in progress, at most `limit`; returns what is still held.
    pub async fn finish(&self, limit: Duration) -> u32 {
        let idle = async {
            while self.in_progress.load(Ordering::Relaxed) > 0 {
                tokio::time::sleep(FINISH_POLL).await;
            }
        };
        let _ = timeout(limit, idle).await;
        self.in_progress.load(Ordering::Relaxed)
    }

    /// Forwards a request and returns as soon as the answer starts.
    ///
    /// # Errors
    /// Fails with what the caller may conclude.
    pub async fn forward(&self, mut forward: Forward) -> Result<StartedAnswer, ForwardRefusal> {
        self.in_progress.fetch_add(1, Ordering::Relaxed);
        let guard = ProgressGuard(self.in_progress.clone());
        forward.request_id = self.next_id.fetch_add(1, Ordering::Relaxed);
        let agent = self
            .choose(&mut forward)
            .ok_or_else(|| refuse(Outcome::NotRun, RefusalReason::NoUpstream))?;
        let opened = self.pool.open_new(agent.peer).await;
        let mut channel = opened.map_err(|_| refuse(Outcome::NotRun, RefusalReason::NoUpstream))?;
        let answer = channel.channel.call(Payload::Forward(forward)).await;
        match answer {
            Ok(Payload::Head(head)) => Ok(StartedAnswer { head, channel, guard }),
            Ok(Payload::Refusal(refusal)) => Err(ForwardRefusal {
                outcome: Outcome::from_code(refusal.outcome).unwrap_or(Outcome::Unknown),
                reason: RefusalReason::from_code(refusal.reason)
                    .unwrap_or(RefusalReason::InvalidAnswer),
                retry_after: Duration::from_millis(refusal.retry_after_ms),
            }),
            _ => Err(refuse(Outcome::Unknown, RefusalReason::ConnectionLost)),
        }
    }

    fn choose(&self, forward: &mut Forward) -> Option<KnownAgent> {
        let view = self.view.get()?;
        let manifest = view.config.model(&forward.model).and_then(|model| model.current_version());
        if let Some(version) = manifest {
            forward.manifest = Bytes::copy_from_slice(version.manifest.as_bytes());
        }
        forward.revision = view.config.revision;
        let ready: Vec<_> = self
            .agents
            .list()
            .into_iter()
            .filter(|agent| {
                let out = view.config.is_out(&agent.data_centre);
                let status =
                    agent.status.as_ref().filter(|status| !status.draining && status.upstream_up);
                let fits =
                    status.is_some_and(|status| match view.config.upstream(&agent.upstream) {
                        Some(record) if forward.service.is_empty() => {
                            record.service.is_none()
                                && status
                                    .ready
                                    .iter()
                                    .any(|ready| ready.manifest == forward.manifest)
                        }
                        Some(record) => record.service.as_deref() == Some(forward.service.as_str()),
                        None => false,
                    });
                fits && !out && !agent.leaving
            })
            .collect();
        ready.choose(&mut rand::rng()).cloned()
    }
}

fn refuse(outcome: Outcome, reason: RefusalReason) -> ForwardRefusal {
    ForwardRefusal { outcome, reason, retry_after: RETRY_AFTER }
}
