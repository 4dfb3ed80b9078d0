//! Items of the platform's store, as they are stored and decoded.

use std::{sync::Arc, time::Duration};

use base::{DataCentreId, ModelId, Revision};
use bytes::Bytes;
use compact_str::CompactString;
use snafu::Snafu;

use crate::record::{RoutingConfig, UpstreamRecord, WeightsVersion};

/// Key of an item in the platform's store.
pub type ItemKey = CompactString;

/// An item as it is stored, before decoding.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct RawItem {
    /// Key under which the item is stored.
    pub key: ItemKey,
    /// Stored bytes; `None` if the item was removed.
    pub value: Option<Bytes>,
    /// Revision of the last change.
    pub revision: Revision,
    /// Time since the change was first observed; `None` if no process observed it.
    pub age: Option<Duration>,
}

/// A decoded item.
#[derive(Clone, Debug, PartialEq)]
pub enum ItemValue {
    /// The routing configuration in force.
    Routing(Arc<RoutingConfig>),
    /// A data centre whose upstreams must not receive new requests.
    Evacuated(DataCentreId),
    /// The version of a model's weights that all upstreams have to load.
    Declared {
        /// Model to which the weights belong.
        model: ModelId,
        /// Version to load.
        version: WeightsVersion,
    },
    /// A registered upstream.
    Upstream(Arc<UpstreamRecord>),
    /// Any other item; it is ignored.
    Other,
}

/// Maximum length of the description of an error in characters. Parsers quote the values that they reject, which may be
/// as long as an item.
const MAX_REASON_CHARS: usize = 200;

/// Error of an item that cannot be decoded.
#[derive(Clone, Debug, Eq, PartialEq, Snafu)]
#[snafu(display("{reason}"))]
pub struct ItemError {
    /// Description of the error in the value.
    pub reason: String,
}

impl ItemError {
    /// Creates an error with the reason as its message, shortened to one short line.
    pub fn new(reason: impl AsRef<str>) -> Self {
        let reason = reason.as_ref().chars().take(MAX_REASON_CHARS);
        Self {
            reason: reason.map(|letter| if letter.is_control() { ' ' } else { letter }).collect(),
        }
    }
}

/// Decodes the items in the platform's store.
pub trait DecodeItem: Send + Sync {
    /// Decodes one item.
    ///
    /// # Errors
    /// Fails if the value does not have the format that the key requires.
    fn decode(&self, key: &str, value: &Bytes) -> Result<ItemValue, ItemError>;

    /// Short value that is passed on to other processes instead of a large one that cannot be decoded. Decoding it fails
    /// as well.
    fn unreadable_value(&self, _error: &ItemError) -> Bytes {
        Bytes::new()
    }
}

/// How an item was received.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ItemSource {
    /// As a change at the time it happened.
    Change,
    /// From another process, as its latest change; changes before it may be missing.
    Relayed,
    /// In a listing of the current items; the time of its last change is not known.
    Listing,
}

/// Change that an applied item made.
#[derive(Debug)]
pub struct FleetChange {
    /// Key of the item.
    pub key: ItemKey,
    /// Revision of the item.
    pub revision: Revision,
    /// Previous content; `None` if the item is new, was removed or could not be decoded.
    pub before: Option<ItemValue>,
    /// New content; `None` if the item is removed or cannot be decoded.
    pub after: Option<ItemValue>,
    /// Set if the item cannot be decoded, unless it could not be decoded before for the same reason.
    pub error: Option<ItemError>,
    /// Time since the change was made, as far as this process knows; `None` if it was only found in a listing.
    pub age: Option<Duration>,
}
