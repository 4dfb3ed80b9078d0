//! Events that the state machine handles and actions that it returns.

use std::{
    net::SocketAddr,
    sync::Arc,
    time::{Duration, Instant},
};

use base::{ContentDigest, DataCentreId, HostId, Revision};
use bytes::Bytes;
use config::{FleetConfig, HostList};

use crate::{
    delta::DocumentDelta,
    document::{DocumentOrder, HeldDocument},
    report::GossipReport,
};

/// One of the two documents that are disseminated.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub enum DocumentKind {
    /// The fleet configuration.
    Config,
    /// The host list.
    Hosts,
}

/// Identity of this process, and the peers that it contacts first.
#[derive(Clone, Debug)]
pub struct GossipOptions {
    /// Id of the host that the process runs on.
    pub host: HostId,
    /// Data centre that the host is in.
    pub data_centre: DataCentreId,
    /// Address at which peers reach this process.
    pub peer: SocketAddr,
    /// Peers that are contacted first after a start; may include this process.
    pub seeds: Vec<SocketAddr>,
}

/// Documents in force in a process, as it reports them to its peers.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ExchangeSummary {
    /// Revision and digest of the configuration in force; `None` if none is in force.
    pub config: Option<DocumentOrder>,
    /// Version of the host list; 0 if none is held.
    pub hosts_version: Revision,
    /// Age in milliseconds of the last known successful read in the sender's data centre; `u64::MAX` if none is known.
    pub read_age_ms: u64,
    /// Data centre of the sender.
    pub data_centre: DataCentreId,
    /// Digest of the last document that the sender has read from the service and rejected, until it adopts another one.
    pub refused: Option<ContentDigest>,
    /// Address at which peers reach the sender.
    pub peer: SocketAddr,
}

/// Result of a read of the configuration service or of the host list.
#[derive(Clone, Debug)]
pub enum ReadResult {
    /// The document that the service returned.
    Document(Bytes),
    /// The service has no revision above the requested one.
    Unchanged,
    /// The read failed or timed out.
    Failed,
}

/// Response to a pull.
#[derive(Clone, Debug)]
pub enum PullResponse {
    /// Changes to the base that the requester named.
    Delta(DocumentDelta),
    /// The full document.
    Full(Bytes),
    /// The peer has no document, or is too busy to send it.
    NotHeld {
        /// Suggested delay before the next pull; zero if the peer holds no document.
        retry_after: Duration,
    },
}

/// An event that drives the state machine.
#[derive(Clone, Debug)]
pub enum GossipEvent {
    /// Time has passed; to be sent several times per second.
    Tick,
    /// A peer sent its summary; the caller responds with [`GossipCore::summary`].
    ExchangeReceived(ExchangeSummary),
    /// A peer responded to an exchange.
    ExchangeSucceeded {
        /// Address of the peer.
        peer: SocketAddr,
        /// Time at which the exchange was sent; if that was before a pause, the response may be outdated.
        sent_at: Instant,
        /// Documents in force in the peer.
        summary: ExchangeSummary,
    },
    /// An exchange with a peer failed or timed out.
    ExchangeFailed(SocketAddr),
    /// A peer responded to a pull.
    PullSucceeded(SocketAddr, DocumentKind, PullResponse),
    /// A pull from a peer failed or timed out.
    PullFailed(SocketAddr, DocumentKind),
    /// A read of the platform's service ended.
    ReadCompleted(DocumentKind, ReadResult),
}

/// An action that the caller of the state machine executes.
#[derive(Clone, Debug)]
pub enum GossipAction {
    /// Send [`GossipCore::summary`] to a peer and pass on its response as an event.
    Exchange(SocketAddr),
    /// Pull a document from a peer. The digest names the base that a delta may apply to; `None` requests the full
    /// document.
    Pull(SocketAddr, DocumentKind, Option<ContentDigest>),
    /// Wait up to `wait` for the configuration service to have a revision above `after`.
    ReadConfig {
        /// Revision in force; 0 if none.
        after: Revision,
        /// Maximum wait for a newer revision; zero reads immediately.
        wait: Duration,
    },
    /// Read the host list from the platform.
    ReadHosts,
    /// Publish a configuration that came into force to the other parts of the process.
    PublishConfig(HeldDocument<FleetConfig>),
    /// Publish a host list that came into force to the other parts of the process.
    PublishHosts(Arc<HostList>),
    /// Set whether the documents are fresh; work and orders may be dispatched only while they are.
    SetFresh(bool),
    /// Write an event to the log.
    Report(GossipReport),
}
