//! Log events of dissemination.

use std::{fmt, net::SocketAddr, time::Duration};

use base::{ContentDigest, Revision};
use compact_str::CompactString;

use crate::event::DocumentKind;

/// A log event, displayed as key=value pairs.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum GossipReport {
    /// A document came into force.
    Adopted {
        /// Kind of the document.
        kind: DocumentKind,
        /// Revision of the document.
        revision: Revision,
        /// Digest of the document.
        digest: ContentDigest,
        /// The peer that sent it; `None` for the platform's service.
        from: Option<SocketAddr>,
    },
    /// A document was rejected; the one in force stays.
    Refused {
        /// Kind of the document.
        kind: DocumentKind,
        /// Digest of the received bytes, or the target digest of a delta.
        digest: ContentDigest,
        /// The reason for the rejection.
        fault: CompactString,
        /// The peer that sent it; `None` for the platform's service.
        from: Option<SocketAddr>,
    },
    /// A peer has read a document from the service and rejected it.
    PeerRefused {
        /// Digest of the document.
        digest: ContentDigest,
        /// Address of the peer.
        peer: SocketAddr,
    },
    /// Two different documents have the same revision; the one with the higher digest takes precedence.
    Conflict {
        /// The revision that both documents have.
        revision: Revision,
        /// Digest of the document in force.
        held: ContentDigest,
        /// Digest of the other document.
        other: ContentDigest,
    },
    /// A document older than the one in force was ignored.
    OlderIgnored {
        /// Kind of the document.
        kind: DocumentKind,
        /// Revision of the document.
        revision: Revision,
    },
    /// The process was paused; its documents are stale until a refresh completes.
    Paused {
        /// Time since the last tick.
        gap: Duration,
    },
    /// A refresh completed.
    Refreshed {
        /// Duration of the refresh.
        took: Duration,
    },
    /// This standby reads the service because the readers with a lower rank do not.
    ReaderTakeover {
        /// Rank of this process among the readers of its data centre.
        rank: usize,
    },
}

impl GossipReport {
    /// True if the event needs the attention of operators.
    #[must_use]
    pub fn is_alarm(&self) -> bool {
        matches!(self, Self::Refused { .. } | Self::PeerRefused { .. } | Self::Conflict { .. })
    }
}

impl fmt::Display for DocumentKind {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(match self {
            Self::Config => "config",
            Self::Hosts => "hosts",
        })
    }
}

/// Displays the address of the peer, or `service` for the platform's service.
struct ReportSource(Option<SocketAddr>);

impl fmt::Display for ReportSource {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self.0 {
            Some(peer) => peer.fmt(formatter),
            None => formatter.write_str("service"),
        }
    }
}

impl fmt::Display for GossipReport {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Adopted { kind, revision, digest, from } => {
                let from = ReportSource(*from);
                write!(
                    formatter,
                    "event=adopted kind={kind} revision={revision} digest={digest} from={from}"
                )
            }
            Self::Refused { kind, digest, fault, from } => {
                let from = ReportSource(*from);
                write!(
                    formatter,
                    "event=refused kind={kind} digest={digest} from={from} fault={fault:?}"
                )
            }
            Self::PeerRefused { digest, peer } => {
                write!(formatter, "event=peer_refused digest={digest} peer={peer}")
            }
            Self::Conflict { revision, held, other } => {
                write!(
                    formatter,
                    "event=revision_conflict revision={revision} held={held} other={other}"
                )
            }
            Self::OlderIgnored { kind, revision } => {
                write!(formatter, "event=older_ignored kind={kind} revision={revision}")
            }
            Self::Paused { gap } => write!(formatter, "event=paused gap_ms={}", gap.as_millis()),
            Self::Refreshed { took } => {
                write!(formatter, "event=refreshed took_ms={}", took.as_millis())
            }
            Self::ReaderTakeover { rank } => write!(formatter, "event=reader_takeover rank={rank}"),
        }
    }
}
