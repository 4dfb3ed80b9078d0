//! Drives the dissemination core on the control thread and carries out its actions.

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
    DocumentKind, ExchangeSummary, HeldDocument, PullAnswer, ServiceRead, SpreadAction, SpreadCore,
    SpreadEvent, SpreadReport,
};
use tokio::{
    sync::{mpsc, oneshot},
    time::MissedTickBehavior,
};
use wire::Payload;

use super::convert;
use crate::{
    alarm::AlarmBoard,
    context::NodeContext,
    peer::PeerPool,
    view::{FleetView, ViewWriter},
};

const TICK: Duration = Duration::from_millis(100);
/// Time for the answer to an exchange; it is far longer than a round trip between regions.
const EXCHANGE_TIMEOUT: Duration = Duration::from_secs(1);
/// Time for the answer to a pull of a whole document over a slow link.
const PULL_TIMEOUT: Duration = Duration::from_secs(3);
/// Length prefix (4), MAC (16), and the headers of IP (20) and TCP with time stamps (32).
const MESSAGE_OVERHEAD_BYTES: u64 = 72;
/// Messages that wait for the control thread; further senders wait.
pub(super) const INBOX_MESSAGES: usize = 256;

/// Message to the control thread.
pub(super) enum ControlMessage {
    /// A peer sent its summary; the own one is the answer.
    Exchange(ExchangeSummary, oneshot::Sender<ExchangeSummary>),
    /// A peer pulls a document.
    Pull(DocumentKind, Option<ContentDigest>, oneshot::Sender<PullAnswer>),
    /// Something that this process asked for was answered.
    Event(SpreadEvent),
}

/// Counters of the control part.
#[derive(Debug, Default)]
pub struct ControlCounters {
    /// Exchanges and pulls sent.
    pub sent: AtomicU64,
    /// Exchanges and pulls of peers that were answered.
    pub answered: AtomicU64,
    /// Bytes sent to peers, with the overhead of frames and of one segment for each message.
    pub sent_bytes: AtomicU64,
    /// Bytes received from peers, counted in the same way, and documents received from the platform.
    pub received_bytes: AtomicU64,
    /// Calls of the platform's services.
    pub service_calls: AtomicU64,
    /// Configurations put in force.
    pub adopted: AtomicU64,
    /// Documents refused.
    pub refused: AtomicU64,
    /// Refreshes after a start or a pause.
    pub refreshed: AtomicU64,
}

impl ControlCounters {
    pub(super) fn count_sent(&self, payload: &Payload) {
        self.sent_bytes.fetch_add(message_bytes(payload), Ordering::Relaxed);
    }

    pub(super) fn count_received(&self, payload: &Payload) {
        self.received_bytes.fetch_add(message_bytes(payload), Ordering::Relaxed);
    }
}

/// Bytes of a message on the network.
fn message_bytes(payload: &Payload) -> u64 {
    payload.encoded_len() as u64 + MESSAGE_OVERHEAD_BYTES
}

/// The platform as the control part sees it.
pub struct ControlSources {
    /// Configuration service.
    pub service: Arc<dyn ConfigService>,
    /// Host list.
    pub directory: Arc<dyn HostDirectory>,
}

/// The control task of a process.
pub(super) struct ControlShell {
    pub(super) context: NodeContext,
    pub(super) core: SpreadCore,
    pub(super) pool: Arc<PeerPool>,
    pub(super) sources: ControlSources,
    pub(super) writer: ViewWriter,
    pub(super) counters: Arc<ControlCounters>,
    pub(super) alarms: Arc<AlarmBoard>,
    pub(super) inbox: mpsc::Receiver<ControlMessage>,
    pub(super) sender: mpsc::Sender<ControlMessage>,
    pub(super) view: Option<FleetView>,
    /// True once a view was published.
    pub(super) published: bool,
    pub(super) hosts: Arc<HostList>,
}

impl ControlShell {
    pub(super) async fn run(mut self) {
        let mut ticks = tokio::time::interval(TICK);
        ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
        loop {
            tokio::select! {
                _ = ticks.tick() => {
                    self.feed(SpreadEvent::Tick);
                    self.writer.beat();
                    let summary = self.core.summary(self.context.clock.now());
                    self.alarms.set_reader(summary.read_age_ms, self.core.reader_rank());
                }
                message = self.inbox.recv() => match message {
                    Some(message) => self.receive(message),
                    None => return,
                },
            }
        }
    }

    fn receive(&mut self, message: ControlMessage) {
        match message {
            ControlMessage::Exchange(summary, reply) => {
                self.counters.answered.fetch_add(1, Ordering::Relaxed);
                let own = self.core.summary(self.context.clock.now());
                // The peer may have given up; its summary counts all the same.
                let _ = reply.send(own);
                if convert::is_reachable(summary.peer) {
                    self.feed(SpreadEvent::ExchangeReceived(summary));
                }
            }
            ControlMessage::Pull(kind, base, reply) => {
                self.counters.answered.fetch_add(1, Ordering::Relaxed);
                let _ = reply.send(self.core.answer_pull(self.context.clock.now(), kind, base));
            }
            ControlMessage::Event(event) => self.feed(event),
        }
    }

    fn feed(&mut self, event: SpreadEvent) {
        let actions = self.core.handle(self.context.clock.now(), event);
        let mut changed = false;
        for action in actions {
            changed |= self.perform(action);
        }
        let fresh = self.core.is_fresh();
        // The first view appears when the start-up refresh has ended; until then nothing is in force.
        let Some(view) = self.view.as_mut().filter(|_| changed && (fresh || self.published)) else {
            return;
        };
        view.fresh = fresh;
        self.published = true;
        self.writer.publish(view.clone());
    }

    /// Carries out an action; returns true if the view changed.
    fn perform(&mut self, action: SpreadAction) -> bool {
        match action {
            SpreadAction::Exchange(peer) => self.exchange(peer),
            SpreadAction::Pull(peer, kind, base) => self.pull(peer, kind, base),
            SpreadAction::ReadConfig { after, wait } => {
                let service = self.sources.service.clone();
                let read = async move { service.watch(after, wait).await };
                self.read(DocumentKind::Config, read);
            }
            SpreadAction::ReadHosts => {
                let directory = self.sources.directory.clone();
                let read = async move { directory.list().await.map(Some) };
                self.read(DocumentKind::Hosts, read);
            }
            SpreadAction::PublishConfig(held) => {
                self.put_in_force(held);
                return true;
            }
            SpreadAction::PublishHosts(hosts) => {
                if let Some(view) = &mut self.view {
                    view.hosts = hosts.clone();
                }
                self.hosts = hosts;
                return true;
            }
            SpreadAction::SetFresh(fresh) => {
                self.counters.refreshed.fetch_add(u64::from(fresh), Ordering::Relaxed);
                return true;
            }
            SpreadAction::Report(report) => self.log(&report),
        }
        false
    }

    fn put_in_force(&mut self, held: HeldDocument<config::FleetConfig>) {
        self.counters.adopted.fetch_add(1, Ordering::Relaxed);
        self.view = Some(FleetView {
            config: held.value,
            digest: held.digest,
            adopted_at: self.context.clock.now(),
            hosts: self.hosts.clone(),
            fresh: self.core.is_fresh(),
        });
    }

    fn log(&self, report: &SpreadReport) {
        if matches!(report, SpreadReport::Refused { .. }) {
            self.counters.refused.fetch_add(1, Ordering::Relaxed);
        }
        self.alarms.take_report(self.context.clock.now(), report);
        if report.is_alarm() { warn!("{report}") } else { info!("{report}") }
    }

    fn exchange(&self, peer: SocketAddr) {
        self.counters.sent.fetch_add(1, Ordering::Relaxed);
        let asked = self.context.clock.now();
        let message = convert::to_exchange(&self.core.summary(asked));
        let (pool, sender) = (self.pool.clone(), self.sender.clone());
        let counters = self.counters.clone();
        self.context.spawn_control(async move {
            let payload = Payload::DigestExchange(message);
            counters.count_sent(&payload);
            let answer = pool.call(peer, payload, EXCHANGE_TIMEOUT).await;
            if let Ok(payload) = &answer {
                counters.count_received(payload);
            }
            let answer = match answer {
                Ok(Payload::DigestExchange(answer)) => convert::from_exchange(&answer),
                Ok(_) => None,
                Err(error) => {
                    debug!("event=exchange_failed peer={peer} error=\"{error}\"");
                    None
                }
            };
            let event = match answer {
                Some(summary) => SpreadEvent::ExchangeAnswered { peer, asked, summary },
                None => SpreadEvent::ExchangeFailed(peer),
            };
            let _ = sender.send(ControlMessage::Event(event)).await;
        });
    }

    fn pull(&self, peer: SocketAddr, kind: DocumentKind, base: Option<ContentDigest>) {
        self.counters.sent.fetch_add(1, Ordering::Relaxed);
        let payload = Payload::Pull(convert::to_pull(kind, base));
        let (pool, sender) = (self.pool.clone(), self.sender.clone());
        let counters = self.counters.clone();
        self.context.spawn_control(async move {
            counters.count_sent(&payload);
            let answer = pool.call(peer, payload, PULL_TIMEOUT).await;
            if let Ok(payload) = &answer {
                counters.count_received(payload);
            }
            let answer = answer.ok().and_then(|payload| convert::from_answer(kind, payload));
            let event = match answer {
                Some(answer) => SpreadEvent::Pulled(peer, kind, answer),
                None => SpreadEvent::PullFailed(peer, kind),
            };
            let _ = sender.send(ControlMessage::Event(event)).await;
        });
    }

    fn read(
        &self,
        kind: DocumentKind,
        call: impl Future<Output = Result<Option<bytes::Bytes>, PlatformError>> + Send + 'static,
    ) {
        self.counters.service_calls.fetch_add(1, Ordering::Relaxed);
        let sender = self.sender.clone();
        let counters = self.counters.clone();
        self.context.spawn_control(async move {
            let read = match call.await {
                Ok(Some(document)) => {
                    let bytes = document.len() as u64 + MESSAGE_OVERHEAD_BYTES;
                    counters.received_bytes.fetch_add(bytes, Ordering::Relaxed);
                    ServiceRead::Document(document)
                }
                Ok(None) => ServiceRead::Unchanged,
                Err(error) => {
                    warn!("event=service_read_failed kind={kind} error=\"{error}\"");
                    ServiceRead::Failed
                }
            };
            let _ = sender.send(ControlMessage::Event(SpreadEvent::Read(kind, read))).await;
        });
    }
}
