//! Attributes crashes of upstreams to the prompt parts of the requests that were in flight.

use std::{collections::BTreeSet, time::Instant};

use base::PromptPartId;

/// A crash, and the parts of each request in flight that have not been found harmless since.
#[derive(Clone, Debug)]
#[expect(dead_code, reason = "read by the attribution")]
pub(crate) struct SuspectCrash {
    pub(crate) at: Instant,
    pub(crate) requests: Vec<BTreeSet<PromptPartId>>,
}

/// Parts to which crashes are attributed.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(crate) struct Culprit {
    /// A request may not run if it has all of these parts. They are several if each crash happened with a request that
    /// had all of them, so that the one to blame is not known.
    pub(crate) parts: BTreeSet<PromptPartId>,
    /// Indices of the crashes.
    pub(crate) crashes: Vec<usize>,
}

/// Finds the parts to which crashes are attributed. No attribution is implemented yet.
pub(crate) fn find_culprits(crashes: &[SuspectCrash]) -> Vec<Culprit> {
    let _ = crashes;
    Vec::new()
}
