//! The two documents that are disseminated, under one interface.

use std::{collections::HashSet, sync::Arc};

use base::{ContentDigest, Revision};
use bytes::Bytes;
use compact_str::{CompactString, ToCompactString, format_compact};
use config::{
    AdapterRecord, ConfigError, DataCentreRecord, FleetConfig, HostList, HostRecord, ModelRecord,
    PresetRule, ServiceRecord, TeamRecord, UpstreamRecord,
};
use snafu::Snafu;

use crate::delta::{DeltaError, DocumentDelta, KeyedItem, MismatchSnafu};

/// Place of a document in the order in which processes move up: revision, then digest.
pub type DocumentOrder = (Revision, ContentDigest);

/// Why a document is refused; a pure function of its bytes.
#[derive(Debug, Snafu)]
pub enum DocumentFault {
    /// The fleet configuration is faulty.
    #[snafu(display("{source}"), context(false))]
    Config {
        /// Which rules it breaks.
        source: ConfigError,
    },
    /// The host list is faulty.
    #[snafu(display("host list: {reason}"))]
    Hosts {
        /// Which rule it breaks.
        reason: CompactString,
    },
    /// A delta does not lead to the document that it names.
    #[snafu(display("{source}"), context(false))]
    Delta {
        /// What is wrong with the delta.
        source: DeltaError,
    },
}

/// A document that processes hand to one another.
pub trait SharedDocument: Clone + PartialEq + Sized {
    /// Parses and checks a document.
    ///
    /// # Errors
    /// Fails if the document breaks a rule.
    fn parse(document: &[u8]) -> Result<Self, DocumentFault>;
    /// Revision of the document.
    fn revision(&self) -> Revision;
    /// Canonical bytes, which the digest names.
    fn canonical_bytes(&self) -> Vec<u8>;
    /// Records the changes from `self` to `new`.
    fn diff(&self, new: &Self, delta: &mut DocumentDelta);
    /// Applies changes; the result is not checked yet.
    ///
    /// # Errors
    /// Fails if a path or a value does not fit the document.
    fn patch(&self, delta: &DocumentDelta) -> Result<Self, DeltaError>;
}

/// A document that has been checked, with its canonical bytes and digest.
#[derive(Clone, Debug)]
pub struct HeldDocument<T> {
    /// The document.
    pub value: Arc<T>,
    /// Its canonical bytes.
    pub bytes: Bytes,
    /// Digest of the canonical bytes.
    pub digest: ContentDigest,
}

impl<T: SharedDocument> HeldDocument<T> {
    /// Parses and checks a document.
    ///
    /// # Errors
    /// Fails if the document breaks a rule.
    pub fn parse(document: &Bytes) -> Result<Self, DocumentFault> {
        let value = T::parse(document)?;
        let canonical = value.canonical_bytes();
        let bytes = if canonical == *document { document.clone() } else { Bytes::from(canonical) };
        Ok(Self { value: Arc::new(value), digest: ContentDigest::of(&bytes), bytes })
    }

    /// Place of the document in the order.
    #[must_use]
    pub fn order(&self) -> DocumentOrder {
        (self.value.revision(), self.digest)
    }

    /// Applies a delta; the result is parsed, checked and compared with the target digest.
    ///
    /// # Errors
    /// Fails if the delta has another base, does not fit, or leads to another or to a faulty document.
    pub fn apply(&self, delta: &DocumentDelta) -> Result<Self, DocumentFault> {
        if delta.base != self.digest {
            return Err(mismatch(self.digest, delta.base));
        }
        let bytes = Bytes::from(self.value.patch(delta)?.canonical_bytes());
        let digest = ContentDigest::of(&bytes);
        if digest != delta.target {
            return Err(mismatch(digest, delta.target));
        }
        Ok(Self { value: Arc::new(T::parse(&bytes)?), bytes, digest })
    }

    /// Delta from `self` to `new`; `None` if items changed their order, which deltas do not express.
    #[must_use]
    pub fn delta_to(&self, new: &Self) -> Option<DocumentDelta> {
        let mut delta = DocumentDelta::new(self.digest, new.digest);
        self.value.diff(&new.value, &mut delta);
        let exact = self.value.patch(&delta).is_ok_and(|patched| patched == *new.value);
        exact.then_some(delta)
    }
}

fn mismatch(found: ContentDigest, expected: ContentDigest) -> DocumentFault {
    DocumentFault::Delta { source: MismatchSnafu { found, expected }.build() }
}

impl SharedDocument for FleetConfig {
    fn parse(document: &[u8]) -> Result<Self, DocumentFault> {
        Ok(Self::parse(document)?)
    }

    fn revision(&self) -> Revision {
        self.revision
    }

    fn canonical_bytes(&self) -> Vec<u8> {
        Self::canonical_bytes(self)
    }

    fn diff(&self, new: &Self, delta: &mut DocumentDelta) {
        delta.set_field("revision", &self.revision, &new.revision);
        delta.set_field("preset", &self.preset, &new.preset);
        delta.set_list("teams", &self.teams, &new.teams);
        delta.set_list("data_centres", &self.data_centres, &new.data_centres);
        delta.set_list("upstreams", &self.upstreams, &new.upstreams);
        delta.set_list("models", &self.models, &new.models);
        delta.set_list("adapters", &self.adapters, &new.adapters);
        delta.set_list("services", &self.services, &new.services);
        delta.set_list("presets", &self.presets, &new.presets);
    }

    fn patch(&self, delta: &DocumentDelta) -> Result<Self, DeltaError> {
        let lists =
            ["teams", "data_centres", "upstreams", "models", "adapters", "services", "presets"];
        delta.check_paths(&["revision", "preset"], &lists)?;
        let mut config = self.clone();
        config.revision = delta.field("revision")?.unwrap_or(config.revision);
        config.preset = delta.field("preset")?.unwrap_or(config.preset);
        delta.apply_list("teams", &mut config.teams)?;
        delta.apply_list("data_centres", &mut config.data_centres)?;
        delta.apply_list("upstreams", &mut config.upstreams)?;
        delta.apply_list("models", &mut config.models)?;
        delta.apply_list("adapters", &mut config.adapters)?;
        delta.apply_list("services", &mut config.services)?;
        delta.apply_list("presets", &mut config.presets)?;
        Ok(config)
    }
}

impl SharedDocument for HostList {
    fn parse(document: &[u8]) -> Result<Self, DocumentFault> {
        let fault = |reason| DocumentFault::Hosts { reason };
        if document.len() > Self::MAX_BYTES {
            return Err(fault(format_compact!("{} bytes, over the limit", document.len())));
        }
        let list: Self =
            serde_json::from_slice(document).map_err(|error| fault(error.to_compact_string()))?;
        if list.version == 0 {
            return Err(fault("version 0".into()));
        }
        let mut seen = HashSet::new();
        for record in &list.hosts {
            // Ids with these characters would be ambiguous in the paths of a delta.
            if record.id.is_empty() || record.id.contains(['/', '@']) || !seen.insert(&record.id) {
                return Err(fault(format_compact!("id {:?} is faulty or duplicate", record.id)));
            }
        }
        Ok(list)
    }

    fn revision(&self) -> Revision {
        self.version
    }

    fn canonical_bytes(&self) -> Vec<u8> {
        serde_json::to_vec(self).expect("a host list serialises to JSON")
    }

    fn diff(&self, new: &Self, delta: &mut DocumentDelta) {
        delta.set_field("version", &self.version, &new.version);
        delta.set_list("hosts", &self.hosts, &new.hosts);
    }

    fn patch(&self, delta: &DocumentDelta) -> Result<Self, DeltaError> {
        delta.check_paths(&["version"], &["hosts"])?;
        let mut list = self.clone();
        list.version = delta.field("version")?.unwrap_or(list.version);
        delta.apply_list("hosts", &mut list.hosts)?;
        Ok(list)
    }
}

macro_rules! keyed_by_id {
    ($($item:ty),+) => {
        $(impl KeyedItem for $item {
            fn key(&self) -> CompactString {
                self.id.to_compact_string()
            }
        })+
    };
}

keyed_by_id!(
    AdapterRecord,
    DataCentreRecord,
    HostRecord,
    ModelRecord,
    PresetRule,
    ServiceRecord,
    TeamRecord,
    UpstreamRecord
);
