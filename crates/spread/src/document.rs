//! Common interface of the two documents that are disseminated.

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

/// Order of documents: by revision, then by digest. A process replaces its document only by a higher one.
pub type DocumentOrder = (Revision, ContentDigest);

/// Reason why a document is rejected; it depends only on the bytes of the document.
#[derive(Debug, Snafu)]
pub enum DocumentError {
    /// The fleet configuration is invalid.
    #[snafu(display("{source}"), context(false))]
    Config {
        /// The rules that it breaks.
        source: ConfigError,
    },
    /// The host list is invalid.
    #[snafu(display("host list: {reason}"))]
    Hosts {
        /// Description of the rule that it breaks.
        reason: CompactString,
    },
    /// A delta cannot be applied, or its result is not the document that it names.
    #[snafu(display("{source}"), context(false))]
    Delta {
        /// The fault of the delta.
        source: DeltaError,
    },
}

/// A document that processes send to one another.
pub trait SharedDocument: Clone + PartialEq + Sized {
    /// Parses and validates a document.
    ///
    /// # Errors
    /// Fails if the document breaks a rule.
    fn parse(document: &[u8]) -> Result<Self, DocumentError>;
    /// Returns the revision, which increases with every publication.
    fn revision(&self) -> Revision;
    /// Serialises the document to the canonical bytes, over which its digest is computed.
    fn canonical_bytes(&self) -> Vec<u8>;
    /// Adds the changes from `self` to `new` to `delta`.
    fn diff(&self, new: &Self, delta: &mut DocumentDelta);
    /// Applies the changes of `delta`; the result has not been validated.
    ///
    /// # Errors
    /// Fails if a path does not exist in the document or a value has the wrong type.
    fn patch(&self, delta: &DocumentDelta) -> Result<Self, DeltaError>;
}

/// A validated document with its canonical bytes and digest.
#[derive(Clone, Debug)]
pub struct HeldDocument<T> {
    /// The parsed document.
    pub value: Arc<T>,
    /// Canonical bytes of the document.
    pub bytes: Bytes,
    /// Digest of the canonical bytes.
    pub digest: ContentDigest,
}

impl<T: SharedDocument> HeldDocument<T> {
    /// Parses and validates a document.
    ///
    /// # Errors
    /// Fails if the document breaks a rule.
    pub fn parse(document: &Bytes) -> Result<Self, DocumentError> {
        let value = T::parse(document)?;
        let canonical = value.canonical_bytes();
        let bytes = if canonical == *document { document.clone() } else { Bytes::from(canonical) };
        Ok(Self { value: Arc::new(value), digest: ContentDigest::of(&bytes), bytes })
    }

    /// Returns the revision and the digest, by which documents are ordered.
    #[must_use]
    pub fn order(&self) -> DocumentOrder {
        (self.value.revision(), self.digest)
    }

    /// Applies a delta. The result must have the target digest and is validated like a full document.
    ///
    /// # Errors
    /// Fails if the delta has another base, cannot be applied, or results in an invalid document or another digest.
    pub fn apply(&self, delta: &DocumentDelta) -> Result<Self, DocumentError> {
        if delta.base != self.digest {
            return Err(mismatch_error(self.digest, delta.base));
        }
        let bytes = Bytes::from(self.value.patch(delta)?.canonical_bytes());
        let digest = ContentDigest::of(&bytes);
        if digest != delta.target {
            return Err(mismatch_error(digest, delta.target));
        }
        Ok(Self { value: Arc::new(T::parse(&bytes)?), bytes, digest })
    }

    /// Computes the delta from `self` to `new`; `None` if the order of items changed, which deltas cannot express.
    #[must_use]
    pub fn delta_to(&self, new: &Self) -> Option<DocumentDelta> {
        let mut delta = DocumentDelta::new(self.digest, new.digest);
        self.value.diff(&new.value, &mut delta);
        let is_exact = self.value.patch(&delta).is_ok_and(|patched| patched == *new.value);
        is_exact.then_some(delta)
    }
}

fn mismatch_error(found: ContentDigest, expected: ContentDigest) -> DocumentError {
    DocumentError::Delta { source: MismatchSnafu { found, expected }.build() }
}

impl SharedDocument for FleetConfig {
    fn parse(document: &[u8]) -> Result<Self, DocumentError> {
        Ok(Self::parse(document)?)
    }

    fn revision(&self) -> Revision {
        self.revision
    }

    fn canonical_bytes(&self) -> Vec<u8> {
        Self::canonical_bytes(self)
    }

    fn diff(&self, new: &Self, delta: &mut DocumentDelta) {
        delta.diff_field("revision", &self.revision, &new.revision);
        delta.diff_field("preset", &self.preset, &new.preset);
        delta.diff_list("teams", &self.teams, &new.teams);
        delta.diff_list("data_centres", &self.data_centres, &new.data_centres);
        delta.diff_list("upstreams", &self.upstreams, &new.upstreams);
        delta.diff_list("models", &self.models, &new.models);
        delta.diff_list("adapters", &self.adapters, &new.adapters);
        delta.diff_list("services", &self.services, &new.services);
        delta.diff_list("presets", &self.presets, &new.presets);
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
    fn parse(document: &[u8]) -> Result<Self, DocumentError> {
        let error = |reason| DocumentError::Hosts { reason };
        if document.len() > Self::MAX_BYTES {
            return Err(error(format_compact!("{} bytes exceed the limit", document.len())));
        }
        let list: Self =
            serde_json::from_slice(document).map_err(|source| error(source.to_compact_string()))?;
        if list.version == 0 {
            return Err(error("version is 0, must be at least 1".into()));
        }
        let mut seen = HashSet::new();
        for record in &list.hosts {
            // Delta paths use these characters as separators, so ids that contain them would be ambiguous.
            if record.id.is_empty() || record.id.contains(['/', '@']) || !seen.insert(&record.id) {
                return Err(error(format_compact!("id {:?} is invalid or duplicate", record.id)));
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
        delta.diff_field("version", &self.version, &new.version);
        delta.diff_list("hosts", &self.hosts, &new.hosts);
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
