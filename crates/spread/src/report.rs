//! Events of dissemination that belong in the log.

use std::{fmt, net::SocketAddr, time::Duration};

use base::{ContentDigest, Revision};
use compact_str::CompactString;

use crate::event::DocumentKind;

/// An event for the log, written as key=value pairs.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum SpreadReport {
    /// A document is in force; `from` is the peer, or `None` for the platform's service.
    Adopted {
        /// Which document.
        kind: DocumentKind,
        /// Its revision.
        revision: Revision,
        /// Its digest.
        digest: ContentDigest,
        /// The peer that delivered it.
        from: Option<SocketAddr>,
    },
    /// A document was refused; the one in force stays.
    Refused {
        /// Which document.
        kind: DocumentKind,
        /// Digest of the bytes as received, or the digest that a delta named as its result.
        digest: ContentDigest,
        /// Why.
        fault: CompactString,
        /// The peer that delivered it.
        from: Option<SocketAddr>,
    },
    /// A peer has read and refused a document.
    PeerRefused {
        /// Digest of the document.
        digest: ContentDigest,
        /// The peer.
        peer: SocketAddr,
    },
    /// Two different documents have the same revision; the one with the higher digest wins.
    Conflict {
        /// The revision.
        revision: Revision,
        /// Digest of the document held.
        held: ContentDigest,
        /// Digest of the other document.
        other: ContentDigest,
    },
    /// A document older than the one in force was ignored.
    OlderIgnored {
        /// Which document.
        kind: DocumentKind,
        /// Its revision.
        revision: Revision,
    },
    /// The process was paused; its knowledge is stale until a refresh ends.
    Paused {
        /// Time since the last tick.
        gap: Duration,
    },
    /// A refresh ended.
    Refreshed {
        /// Time that it took.
        took: Duration,
    },
    /// This process reads the service because the readers before it do not.
    TookOver {
        /// Rank of this process.
        rank: usize,
    },
}

impl SpreadReport {
    /// True if operators should look at it.
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

/// Writes the peer, or `service` for the platform's service.
struct Origin(Option<SocketAddr>);

impl fmt::Display for Origin {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self.0 {
            Some(peer) => peer.fmt(formatter),
            None => formatter.write_str("service"),
        }
    }
}

impl fmt::Display for SpreadReport {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Adopted { kind, revision, digest, from } => {
                let from = Origin(*from);
                write!(
                    formatter,
                    "event=adopted kind={kind} revision={revision} digest={digest} from={from}"
                )
            }
            Self::Refused { kind, digest, fault, from } => {
                let from = Origin(*from);
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
            Self::TookOver { rank } => write!(formatter, "event=reader_takeover rank={rank}"),
        }
    }
}
