//! Conversion between wire messages and the types of the `spread` crate.

use std::{net::SocketAddr, time::Duration};

use base::ContentDigest;
use bytes::Bytes;
use spread::{DeltaItem, DocumentDelta, DocumentKind, ExchangeSummary, PullResponse};
use wire::{Delta, DigestExchange, Document, NotHeld, Payload, Pull};

/// Encodes a summary.
pub(super) fn to_exchange(summary: &ExchangeSummary) -> DigestExchange {
    let (revision, digest) = summary
        .config
        .map_or_else(|| (0, Bytes::new()), |(revision, digest)| (revision, to_bytes(digest)));
    DigestExchange {
        revision,
        digest,
        hosts_version: summary.hosts_version,
        read_age_ms: summary.read_age_ms,
        data_centre: summary.data_centre.to_string(),
        refused_digest: summary.refused.map_or_else(Bytes::new, to_bytes),
        peer: summary.peer.to_string(),
    }
}

/// Decodes a summary; `None` if the message is malformed.
pub(super) fn from_exchange(message: &DigestExchange) -> Option<ExchangeSummary> {
    let config = match message.revision {
        0 => None,
        revision => Some((revision, ContentDigest::from_slice(&message.digest).ok()?)),
    };
    Some(ExchangeSummary {
        config,
        hosts_version: message.hosts_version,
        read_age_ms: message.read_age_ms,
        data_centre: message.data_centre.as_str().into(),
        refused: ContentDigest::from_slice(&message.refused_digest).ok(),
        peer: message.peer.parse().ok()?,
    })
}

/// Encodes a request for a document, with the digest of the version held if any.
pub(super) fn to_pull(kind: DocumentKind, base: Option<ContentDigest>) -> Pull {
    Pull { kind: to_kind(kind), base: base.map_or_else(Bytes::new, to_bytes) }
}

/// Decodes the kind and base of a pull; `None` if the message is malformed.
pub(super) fn from_pull(message: &Pull) -> Option<(DocumentKind, Option<ContentDigest>)> {
    let base = match message.base.is_empty() {
        true => None,
        false => Some(ContentDigest::from_slice(&message.base).ok()?),
    };
    Some((from_kind(message.kind)?, base))
}

/// Encodes the response to a pull.
pub(super) fn to_pull_response(kind: DocumentKind, response: PullResponse) -> Payload {
    let kind = to_kind(kind);
    match response {
        PullResponse::Full(value) => Payload::Document(Document { kind, value }),
        PullResponse::NotHeld { retry_after } => Payload::NotHeld(NotHeld {
            retry_after_ms: u64::try_from(retry_after.as_millis()).unwrap_or(u64::MAX),
        }),
        PullResponse::Delta(delta) => Payload::Delta(Delta {
            kind,
            base: to_bytes(delta.base),
            target: to_bytes(delta.target),
            set: delta
                .set
                .into_iter()
                .map(|item| wire::DeltaItem { path: item.path.into(), value: item.value.into() })
                .collect(),
            removed: delta.removed.into_iter().map(Into::into).collect(),
        }),
    }
}

/// Decodes the response to a pull of `kind`; `None` if it is malformed or is for another kind of document.
pub(super) fn from_pull_response(kind: DocumentKind, payload: Payload) -> Option<PullResponse> {
    match payload {
        Payload::Document(message) if from_kind(message.kind) == Some(kind) => {
            Some(PullResponse::Full(message.value))
        }
        Payload::NotHeld(reply) => {
            Some(PullResponse::NotHeld { retry_after: Duration::from_millis(reply.retry_after_ms) })
        }
        Payload::Delta(message) if from_kind(message.kind) == Some(kind) => {
            let item = |item: wire::DeltaItem| DeltaItem {
                path: item.path.into(),
                value: item.value.to_vec(),
            };
            Some(PullResponse::Delta(DocumentDelta {
                base: ContentDigest::from_slice(&message.base).ok()?,
                target: ContentDigest::from_slice(&message.target).ok()?,
                set: message.set.into_iter().map(item).collect(),
                removed: message.removed.into_iter().map(Into::into).collect(),
            }))
        }
        _ => None,
    }
}

/// True if `peer` is an address that can be connected to. A process that listens on an unspecified address announces
/// that address, which is useless to other hosts.
pub(super) fn is_reachable(peer: SocketAddr) -> bool {
    !peer.ip().is_unspecified() && peer.port() != 0
}

fn to_bytes(digest: ContentDigest) -> Bytes {
    Bytes::copy_from_slice(digest.as_bytes())
}

fn to_kind(kind: DocumentKind) -> i32 {
    match kind {
        DocumentKind::Config => wire::DocumentKind::Config as i32,
        DocumentKind::Hosts => wire::DocumentKind::Hosts as i32,
    }
}

fn from_kind(kind: i32) -> Option<DocumentKind> {
    match wire::DocumentKind::try_from(kind).ok()? {
        wire::DocumentKind::Config => Some(DocumentKind::Config),
        wire::DocumentKind::Hosts => Some(DocumentKind::Hosts),
    }
}
