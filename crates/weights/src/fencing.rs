//! Fencing numbers of load orders, and the status reported by an engine.

use base::{ContentDigest, Incarnation, ModelId, Revision};
use serde::{Deserialize, Serialize};

/// Sequence number of load orders, compared by configuration revision, then by incarnation.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
pub struct FencingNumber {
    /// Revision of the configuration on which the order is based.
    pub revision: Revision,
    /// Incarnation of the sending process, or a higher number if an earlier process sent an order for the same revision
    /// with a higher incarnation.
    pub incarnation: Incarnation,
}

/// Action that a load order requests from an engine.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum OrderKind {
    /// Load a version and serve it.
    Load,
    /// Stop serving a version.
    Unload,
}

/// Response of an engine to an order.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum OrderOutcome {
    /// The engine accepted the order.
    Accepted,
    /// The engine refused the order because its fencing number is older than that of an accepted one.
    Refused,
    /// The engine refused the order because it does not hold the weights. An order of an earlier process may have removed
    /// them.
    NotUploaded,
    /// No response was received; the order may still arrive.
    Unknown,
}

/// Status reported by an engine.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct EngineView {
    /// Incarnation of the engine process; changes on a restart, after which the engine has lost its weights.
    pub incarnation: Incarnation,
    /// Models that the engine serves, with the manifest digest of each.
    pub loaded: Vec<(ModelId, ContentDigest)>,
    /// Fencing number of the last order that the engine accepted; `None` if it has accepted none.
    pub last_order: Option<FencingNumber>,
}

impl EngineView {
    /// True if the engine reports that it serves this version of the model.
    #[must_use]
    pub fn serves(&self, model: &str, manifest: ContentDigest) -> bool {
        self.loaded.iter().any(|(name, digest)| name == model && *digest == manifest)
    }
}

impl FencingNumber {
    /// Fencing number for the next order of a process, given the `last` one that the engine accepted. Incarnations are
    /// random, so an earlier process may have sent a higher one for the same revision; the result then exceeds it by 1.
    #[must_use]
    pub fn next(revision: Revision, incarnation: Incarnation, last: Option<Self>) -> Self {
        let incarnation = match last {
            Some(last) if last.revision == revision => incarnation
                .max(last.incarnation.saturating_add(u64::from(last.incarnation != incarnation))),
            _ => incarnation,
        };
        Self { revision, incarnation }
    }
}
