//! Fencing numbers of load orders, and what an engine says about itself.

use base::{ContentDigest, Incarnation, ModelId, Revision};
use serde::{Deserialize, Serialize};

/// Number that orders load orders: configuration revision, then incarnation.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
pub struct FencingNumber {
    /// Revision of the configuration that the order follows.
    pub revision: Revision,
    /// Incarnation of the process that sends the order, raised above earlier processes of the same revision.
    pub incarnation: Incarnation,
}

/// Kind of an order.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum OrderKind {
    /// Load a version and serve it.
    Load,
    /// Stop serving a version.
    Unload,
}

/// Reply of an engine to an order.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum OrderOutcome {
    /// The engine took the order.
    Accepted,
    /// The engine refused an old fencing number.
    Refused,
    /// No reply; the order may still arrive.
    Unknown,
}

/// Status of an engine.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct EngineView {
    /// Incarnation of the engine; a restarted engine has lost its weights.
    pub incarnation: Incarnation,
    /// Models that the engine serves, with the manifests.
    pub loaded: Vec<(ModelId, ContentDigest)>,
    /// Fencing number of the last order that the engine took.
    pub last_order: Option<FencingNumber>,
}

impl EngineView {
    /// True if the engine names this version of the model.
    #[must_use]
    pub fn serves(&self, model: &str, manifest: ContentDigest) -> bool {
        self.loaded.iter().any(|(name, digest)| name == model && *digest == manifest)
    }
}

impl FencingNumber {
    /// Number of the next order of a process. An order of an earlier process with the same revision may carry a higher
    /// incarnation, since incarnations are random; the new process then goes just above it.
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
