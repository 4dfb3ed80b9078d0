//! Control task: feeds events to [`GossipCore`] and executes the actions that it returns.

use std::{
    net::SocketAddr,
    sync::{
        Arc,
        atomic::{AtomicU64, Ordering},
    },
    time::Duration,
};

use base::ContentDigest;
use config::HostList;
use log::{debug, info, warn};
use ports::{ConfigService, HostDirectory, PlatformError};
use spread::{
    DocumentKind, ExchangeSummary, GossipAction, GossipCore, GossipEvent, GossipReport,
    HeldDocument, PullResponse, ReadResult,
};
use tokio::{
    sync::{mpsc, oneshot},
    time::MissedTickBehavior,
};
use wire::Payload;

use super::convert;
use crate::{
    alarm::AlarmRegistry,
    context::NodeContext,
    peer::PeerPool,
    view::{FleetView, ViewWriter},
};

const TICK: Duration = Duration::from_millis(100);
/// Timeout for the response to an exchange; far longer than a round trip between regions.
const EXCHANGE_TIMEOUT: Duration = Duration::from_secs(1);
/// Timeout for the response to a pull; allows for a full document over a slow link.
const PULL_TIMEOUT: Duration = Duration::from_secs(3);
/// Length prefix (4), MAC (16), IP header (20) and TCP header with timestamps (32).
const MESSAGE_OVERHEAD_BYTES: u64 = 72;
/// Capacity of the queue to the control task; senders wait while it is full.
pub(super) const INBOX_CAPACITY: usize = 256;

/// Message to the control task.
pub(super) enum ControlMessage {
    /// A peer sent its summary and expects that of this process in response.
    Exchange(ExchangeSummary, oneshot::Sender<ExchangeSummary>),
    /// A peer requests a document, as a delta from the given base if possible.
    Pull(DocumentKind, Option<ContentDigest>, oneshot::Sender<PullResponse>),
    /// An exchange, pull or read started by this process has completed or failed.
    Event(GossipEvent),
}

/// Counters of the control task.
#[derive(Debug, Default)]
pub struct ControlCounters {
    /// Exchanges and pulls sent to peers.
    pub requests_sent: AtomicU64,
    /// Responses sent to exchanges and pulls of peers.
    pub responses_sent: AtomicU64,
    /// Bytes sent to peers, including frame overhead and the headers of one TCP segment per message.
    pub sent_bytes: AtomicU64,
    /// Bytes received from peers and in documents from the platform, with the same overhead per message.
    pub received_bytes: AtomicU64,
    /// Requests to the platform's configuration service and host directory.
    pub platform_requests: AtomicU64,
    /// Configurations that came into force.
    pub configs_adopted: AtomicU64,
    /// Published documents that this process refused.
    pub documents_refused: AtomicU64,
    /// Completed refreshes after a start or a pause of the process.
    pub refreshes: AtomicU64,
}

impl ControlCounters {
    pub(super) fn count_sent(&self, payload: &Payload) {
        self.sent_bytes.fetch_add(message_bytes(payload), Ordering::Relaxed);
    }

    pub(super) fn count_received(&self, payload: &Payload) {
        self.received_bytes.fetch_add(message_bytes(payload), Ordering::Relaxed);
    }
}

/// Estimated size of a message on the network, in bytes.
fn message_bytes(payload: &Payload) -> u64 {
    payload.encoded_len() as u64 + MESSAGE_OVERHEAD_BYTES
}

/// Platform services that the control task reads.
pub struct ControlSources {
    /// Source of the fleet configuration.
    pub service: Arc<dyn ConfigService>,
    /// Source of the host list.
    pub directory: Arc<dyn HostDirectory>,
}

/// State of the control task of a process.
pub(super) struct ControlTask {
    pub(super) context: NodeContext,
    pub(super) core: GossipCore,
    pub(super) pool: Arc<PeerPool>,
    pub(super) sources: ControlSources,
    pub(super) writer: ViewWriter,
    pub(super) counters: Arc<ControlCounters>,
    pub(super) alarms: Arc<AlarmRegistry>,
    pub(super) inbox: mpsc::Receiver<ControlMessage>,
    pub(super) sender: mpsc::Sender<ControlMessage>,
    pub(super) view: Option<FleetView>,
    /// True once a view has been published.
    pub(super) published: bool,
    pub(super) hosts: Arc<HostList>,
}

impl ControlTask {
    pub(super) async fn run(mut self) {
        let mut ticks = tokio::time::interval(TICK);
        ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
        loop {
            tokio::select! {
                _ = ticks.tick() => {
                    self.handle_event(GossipEvent::Tick);
                    self.writer.record_heartbeat();
                    let summary = self.core.summary(self.context.clock.now());
                    self.alarms.set_reader_health(summary.read_age_ms, self.core.reader_rank());
                }
                message = self.inbox.recv() => match message {
                    Some(message) => self.handle_message(message),
                    None => return,
                },
            }
        }
    }

    fn handle_message(&mut self, message: ControlMessage) {
        match message {
            ControlMessage::Exchange(summary, response_sender) => {
                self.counters.responses_sent.fetch_add(1, Ordering::Relaxed);
                let own = self.core.summary(self.context.clock.now());
                // The peer may no longer wait for the response, but its summary is still valid.
                let _ = response_sender.send(own);
                if convert::is_reachable(summary.peer) {
                    self.handle_event(GossipEvent::ExchangeReceived(summary));
                }
            }
            ControlMessage::Pull(kind, base, response_sender) => {
                self.counters.responses_sent.fetch_add(1, Ordering::Relaxed);
                let _ = response_sender.send(self.core.respond_to_pull(
                    self.context.clock.now(),
                    kind,
                    base,
                ));
            }
            ControlMessage::Event(event) => self.handle_event(event),
        }
    }

    fn handle_event(&mut self, event: GossipEvent) {
        let actions = self.core.handle(self.context.clock.now(), event);
        let mut changed = false;
        for action in actions {
            changed |= self.execute(action);
        }
        let fresh = self.core.is_fresh();
        // Nothing is published before the start-up refresh completes; until then no configuration is in force.
        let Some(view) = self.view.as_mut().filter(|_| changed && (fresh || self.published)) else {
            return;
        };
        view.fresh = fresh;
        self.published = true;
        self.writer.publish(view.clone());
    }

    /// Executes an action; returns true if it changed the view or its freshness.
    fn execute(&mut self, action: GossipAction) -> bool {
        match action {
            GossipAction::Exchange(peer) => self.send_exchange(peer),
            GossipAction::Pull(peer, kind, base) => self.send_pull(peer, kind, base),
            GossipAction::ReadConfig { after, wait } => {
                let service = self.sources.service.clone();
                let read = async move { service.watch(after, wait).await };
                self.spawn_read(DocumentKind::Config, read);
            }
            GossipAction::ReadHosts => {
                let directory = self.sources.directory.clone();
                let read = async move { directory.list().await.map(Some) };
                self.spawn_read(DocumentKind::Hosts, read);
            }
            GossipAction::PublishConfig(held) => {
                self.apply_config(held);
                return true;
            }
            GossipAction::PublishHosts(hosts) => {
                if let Some(view) = &mut self.view {
                    view.hosts = hosts.clone();
                }
                self.hosts = hosts;
                return true;
            }
            GossipAction::SetFresh(fresh) => {
                self.counters.refreshes.fetch_add(u64::from(fresh), Ordering::Relaxed);
                return true;
            }
            GossipAction::Report(report) => self.log_report(&report),
        }
        false
    }

    fn apply_config(&mut self, held: HeldDocument<config::FleetConfig>) {
        self.counters.configs_adopted.fetch_add(1, Ordering::Relaxed);
        self.view = Some(FleetView {
            config: held.value,
            digest: held.digest,
            adopted_at: self.context.clock.now(),
            hosts: self.hosts.clone(),
            fresh: self.core.is_fresh(),
        });
    }

    fn log_report(&self, report: &GossipReport) {
        if matches!(report, GossipReport::Refused { .. }) {
            self.counters.documents_refused.fetch_add(1, Ordering::Relaxed);
        }
        self.alarms.record_report(self.context.clock.now(), report);
        if report.is_alarm() { warn!("{report}") } else { info!("{report}") }
    }

    fn send_exchange(&self, peer: SocketAddr) {
        self.counters.requests_sent.fetch_add(1, Ordering::Relaxed);
        let sent_at = self.context.clock.now();
        let message = convert::to_exchange(&self.core.summary(sent_at));
        let (pool, sender) = (self.pool.clone(), self.sender.clone());
        let counters = self.counters.clone();
        self.context.spawn_control(async move {
            let payload = Payload::DigestExchange(message);
            counters.count_sent(&payload);
            let response = pool.exchange(peer, payload, EXCHANGE_TIMEOUT).await;
            if let Ok(payload) = &response {
                counters.count_received(payload);
            }
            let response = match response {
                Ok(Payload::DigestExchange(response)) => convert::from_exchange(&response),
                Ok(_) => None,
                Err(error) => {
                    debug!("event=exchange_failed peer={peer} error=\"{error}\"");
                    None
                }
            };
            let event = match response {
                Some(summary) => GossipEvent::ExchangeSucceeded { peer, sent_at, summary },
                None => GossipEvent::ExchangeFailed(peer),
            };
            let _ = sender.send(ControlMessage::Event(event)).await;
        });
    }

    fn send_pull(&self, peer: SocketAddr, kind: DocumentKind, base: Option<ContentDigest>) {
        self.counters.requests_sent.fetch_add(1, Ordering::Relaxed);
        let payload = Payload::Pull(convert::to_pull(kind, base));
        let (pool, sender) = (self.pool.clone(), self.sender.clone());
        let counters = self.counters.clone();
        self.context.spawn_control(async move {
            counters.count_sent(&payload);
            let response = pool.exchange(peer, payload, PULL_TIMEOUT).await;
            if let Ok(payload) = &response {
                counters.count_received(payload);
            }
            let response =
                response.ok().and_then(|payload| convert::from_pull_response(kind, payload));
            let event = match response {
                Some(response) => GossipEvent::PullSucceeded(peer, kind, response),
                None => GossipEvent::PullFailed(peer, kind),
            };
            let _ = sender.send(ControlMessage::Event(event)).await;
        });
    }

    fn spawn_read(
        &self,
        kind: DocumentKind,
        call: impl Future<Output = Result<Option<bytes::Bytes>, PlatformError>> + Send + 'static,
    ) {
        self.counters.platform_requests.fetch_add(1, Ordering::Relaxed);
        let sender = self.sender.clone();
        let counters = self.counters.clone();
        self.context.spawn_control(async move {
            let read = match call.await {
                Ok(Some(document)) => {
                    let bytes = document.len() as u64 + MESSAGE_OVERHEAD_BYTES;
                    counters.received_bytes.fetch_add(bytes, Ordering::Relaxed);
                    ReadResult::Document(document)
                }
                Ok(None) => ReadResult::Unchanged,
                Err(error) => {
                    warn!("event=service_read_failed kind={kind} error=\"{error}\"");
                    ReadResult::Failed
                }
            };
            let _ =
                sender.send(ControlMessage::Event(GossipEvent::ReadCompleted(kind, read))).await;
        });
    }
}
