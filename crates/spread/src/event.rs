//! What drives the state machine and what it asks for.

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
    report::SpreadReport,
};

/// Which document.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub enum DocumentKind {
    /// The fleet configuration.
    Config,
    /// The host list.
    Hosts,
}

/// Identity of this process and where it finds peers at first.
#[derive(Clone, Debug)]
pub struct SpreadOptions {
    /// Id of this host.
    pub host: HostId,
    /// Data centre of this host.
    pub data_centre: DataCentreId,
    /// Address for frames of this process.
    pub peer: SocketAddr,
    /// Peers that are asked first after a start.
    pub seeds: Vec<SocketAddr>,
}

/// What a process has in force, as it tells its peers.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ExchangeSummary {
    /// Order of the configuration in force; `None` if none is in force.
    pub config: Option<DocumentOrder>,
    /// Version of the host list; 0 if none is held.
    pub hosts_version: Revision,
    /// Age in milliseconds of the last successful read known in the sender's data centre; `u64::MAX` if none is known.
    pub read_age_ms: u64,
    /// Data centre of the sender.
    pub data_centre: DataCentreId,
    /// Digest of a newer document that the sender has read and refused.
    pub refused: Option<ContentDigest>,
    /// Address for frames of the sender.
    pub peer: SocketAddr,
}

/// Answer of the configuration service or of the host list.
#[derive(Clone, Debug)]
pub enum ServiceRead {
    /// A document.
    Document(Bytes),
    /// Nothing newer than what was asked for.
    Unchanged,
    /// The read failed.
    Failed,
}

/// Answer to a pull.
#[derive(Clone, Debug)]
pub enum PullAnswer {
    /// Changes from the base that the puller named.
    Delta(DocumentDelta),
    /// The whole document.
    Whole(Bytes),
    /// The peer cannot deliver.
    NotHeld {
        /// When a new attempt makes sense; zero if the peer holds no document.
        retry_after: Duration,
    },
}

/// What happened.
#[derive(Clone, Debug)]
pub enum SpreadEvent {
    /// Time passed; expected several times a second.
    Tick,
    /// A peer sent its summary; the caller answers with [`SpreadCore::summary`].
    ExchangeReceived(ExchangeSummary),
    /// A peer answered an exchange.
    ExchangeAnswered {
        /// The peer.
        peer: SocketAddr,
        /// When the exchange was sent; an answer to one sent before a pause says nothing about the time after it.
        asked: Instant,
        /// What the peer has in force.
        summary: ExchangeSummary,
    },
    /// A peer did not answer an exchange.
    ExchangeFailed(SocketAddr),
    /// A peer answered a pull.
    Pulled(SocketAddr, DocumentKind, PullAnswer),
    /// A peer did not answer a pull.
    PullFailed(SocketAddr, DocumentKind),
    /// The platform answered a read.
    Read(DocumentKind, ServiceRead),
}

/// What the shell has to do.
#[derive(Clone, Debug)]
pub enum SpreadAction {
    /// Send [`SpreadCore::summary`] to a peer and report the answer.
    Exchange(SocketAddr),
    /// Pull a document from a peer; with the digest of the base that a delta may apply to.
    Pull(SocketAddr, DocumentKind, Option<ContentDigest>),
    /// Watch the configuration service for a revision above `after` for at most `wait`.
    ReadConfig {
        /// Revision held; 0 if none.
        after: Revision,
        /// Longest wait for a newer revision; zero reads at once.
        wait: Duration,
    },
    /// Read the host list.
    ReadHosts,
    /// A configuration is in force.
    PublishConfig(HeldDocument<FleetConfig>),
    /// A host list is in force.
    PublishHosts(Arc<HostList>),
    /// Work and orders may be handed out only while this is true.
    SetFresh(bool),
    /// Log an event.
    Report(SpreadReport),
}
