//! Merges items by revision and remembers removals, so that no source can move a process back.

use std::{
    collections::{HashMap, HashSet},
    net::SocketAddr,
    sync::Arc,
    time::{Duration, Instant},
};

use base::{DataCentreId, ModelId, Revision};
use bytes::Bytes;
use compact_str::CompactString;
use snafu::Snafu;

use crate::{
    record::{RoutingConfig, UpstreamRecord, WeightsVersion},
    view::{FleetView, RoutingIndex, WeightsState},
};

/// Key of an item in the platform's store.
pub type ItemKey = CompactString;

/// Removed items that are remembered at most; a peer that is further behind gets a snapshot.
const MAX_REMOVED: usize = 4_096;
/// Time after the return of the store within which upstreams whose entries lapsed register again: about 2 s by the
/// users' statement, with the delay of the watch added.
const LAPSE_GRACE: Duration = Duration::from_millis(2_400);

/// An item as it is stored; `value` is `None` if it was removed.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct RawItem {
    /// Key.
    pub key: ItemKey,
    /// Stored bytes.
    pub value: Option<Bytes>,
    /// Revision of the last change.
    pub revision: Revision,
    /// Time since the change was first seen, if any process saw it happen.
    pub age: Option<Duration>,
}

/// What an item says.
#[derive(Clone, Debug, PartialEq)]
pub enum FleetFact {
    /// The configuration in force.
    Routing(Arc<RoutingConfig>),
    /// A data centre whose upstreams are to get no new work.
    Evacuated(DataCentreId),
    /// The version of a model's weights that all upstreams are to hold.
    Declared {
        /// The model.
        model: ModelId,
        /// The version.
        version: WeightsVersion,
    },
    /// An upstream.
    Upstream(Arc<UpstreamRecord>),
    /// An item that concerns nothing here.
    Other,
}

/// Why an item cannot be read.
#[derive(Debug, Snafu)]
#[snafu(display("{reason}"))]
pub struct FactError {
    /// What is wrong with the value.
    pub reason: String,
}

impl FactError {
    /// Creates the error.
    pub fn new(reason: impl Into<String>) -> Self {
        Self { reason: reason.into() }
    }
}

/// Reads the platform's items.
pub trait FactDecoder: Send + Sync {
    /// Reads one item.
    ///
    /// # Errors
    /// Fails if the value has another shape than the key requires; such an item names nothing to use.
    fn decode(&self, key: &str, value: &Bytes) -> Result<FleetFact, FactError>;
}

/// Where items come from.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum FactSource {
    /// The change itself, as it happened.
    Change,
    /// A listing of what is there; the time of the changes is not known.
    Listing,
}

/// What an applied item changed.
#[derive(Debug)]
pub struct KnowledgeDelta {
    /// Key of the item.
    pub key: ItemKey,
    /// Revision of the item.
    pub revision: Revision,
    /// What the item said before.
    pub before: Option<FleetFact>,
    /// What it says now.
    pub after: Option<FleetFact>,
    /// Set if the item cannot be read.
    pub error: Option<FactError>,
}

#[derive(Debug)]
struct ItemState {
    revision: Revision,
    value: Option<Bytes>,
    fact: Option<FleetFact>,
    /// When this process saw the change; `None` if it only found the item.
    changed: Option<Instant>,
    /// An upstream that vanished while the store was unavailable, and until when it may come back.
    lapsed: Option<(Arc<UpstreamRecord>, Instant)>,
}

/// Everything that a process knows of the fleet.
#[derive(Default)]
pub struct FleetKnowledge {
    items: HashMap<ItemKey, ItemState>,
    /// Versions of each model in the order of their declaration, with the time at which each was seen.
    declared: HashMap<ModelId, Vec<(WeightsVersion, Option<Instant>)>>,
    /// Highest revision up to which nothing is missing; `None` before the first listing.
    as_of: Option<Revision>,
    /// Removals below this revision may have been forgotten.
    removed_floor: Revision,
    /// Highest revision of an item.
    head: Revision,
    /// Last moment at which the store was known to be unavailable.
    unavailable: Option<Instant>,
    /// Tables of the configuration in force.
    routing: Option<Arc<RoutingIndex>>,
}

impl FleetKnowledge {
    /// Creates the knowledge of a process that has just started.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Highest revision up to which nothing is missing.
    #[must_use]
    pub fn as_of(&self) -> Option<Revision> {
        self.as_of
    }

    /// Highest revision of an item.
    #[must_use]
    pub fn head(&self) -> Revision {
        self.head
    }

    /// Records that the store does not answer at `now`.
    pub fn record_unavailable(&mut self, now: Instant) {
        self.unavailable = Some(now);
    }

    /// Records that nothing up to `revision` is missing.
    pub fn advance(&mut self, revision: Revision) {
        self.as_of = Some(self.as_of.map_or(revision, |known| known.max(revision)));
    }

    /// Applies one item; `None` if it is not newer than what is known.
    pub fn apply(
        &mut self,
        item: RawItem,
        source: FactSource,
        decoder: &dyn FactDecoder,
        now: Instant,
    ) -> Option<KnowledgeDelta> {
        if self.items.get(&item.key).is_some_and(|known| known.revision >= item.revision) {
            return None;
        }
        self.head = self.head.max(item.revision);
        let (fact, error) = match item.value.as_ref().map(|value| decoder.decode(&item.key, value))
        {
            Some(Ok(fact)) => (Some(fact), None),
            Some(Err(error)) => (None, Some(error)),
            None => (None, None),
        };
        let changed = match (item.age, source) {
            (Some(age), _) => now.checked_sub(age),
            (None, FactSource::Change) => Some(now),
            (None, FactSource::Listing) => None,
        };
        if let Some(FleetFact::Declared { model, version }) = &fact {
            let versions = self.declared.entry(model.clone()).or_default();
            if versions.last().is_none_or(|(last, _)| last < version) {
                versions.push((*version, changed));
            }
        }
        let before = self.items.remove(&item.key);
        let lapsed = before.as_ref().and_then(|before| self.lapse(before, &item, now));
        let before = before.and_then(|before| before.fact);
        match (&before, &fact) {
            (_, Some(FleetFact::Routing(config))) => {
                self.routing = Some(Arc::new(RoutingIndex::new(config.clone())));
            }
            // A configuration that cannot be read leaves the last one in force.
            (Some(FleetFact::Routing(_)), None) if item.value.is_none() => self.routing = None,
            _ => {}
        }
        let delta = KnowledgeDelta {
            key: item.key.clone(),
            revision: item.revision,
            before,
            after: fact.clone(),
            error,
        };
        let state = ItemState { revision: item.revision, value: item.value, fact, changed, lapsed };
        self.items.insert(item.key, state);
        self.bound_removed();
        Some(delta)
    }

    /// Replaces the knowledge by a complete listing that was begun at `as_of`: what is not listed and not newer is gone.
    pub fn apply_listing(
        &mut self,
        items: Vec<RawItem>,
        as_of: Revision,
        decoder: &dyn FactDecoder,
        now: Instant,
    ) -> Vec<KnowledgeDelta> {
        if self.as_of.is_some_and(|known| known > as_of) {
            return Vec::new();
        }
        let listed: HashSet<ItemKey> = items.iter().map(|item| item.key.clone()).collect();
        let gone: Vec<ItemKey> = self
            .items
            .iter()
            .filter(|(key, item)| {
                item.value.is_some() && item.revision <= as_of && !listed.contains(*key)
            })
            .map(|(key, _)| key.clone())
            .collect();
        let removals =
            gone.into_iter().map(|key| RawItem { key, value: None, revision: as_of, age: None });
        let deltas = items
            .into_iter()
            .map(|item| (item, FactSource::Listing))
            .chain(removals.map(|item| (item, FactSource::Change)))
            .filter_map(|(item, source)| self.apply(item, source, decoder, now))
            .collect();
        self.removed_floor = self.removed_floor.max(as_of);
        self.advance(as_of);
        deltas
    }

    /// Items that a peer lacks whose knowledge reaches to `after`. The flag tells that these are all items, so that the
    /// peer drops what is not among them.
    #[must_use]
    pub fn items_after(&self, after: Revision, now: Instant) -> (Vec<RawItem>, bool) {
        let is_snapshot = after < self.removed_floor;
        let wanted = |item: &ItemState| {
            if is_snapshot { item.value.is_some() } else { item.revision > after }
        };
        let items = self
            .items
            .iter()
            .filter(|(_, item)| wanted(item))
            .map(|(key, item)| RawItem {
                key: key.clone(),
                value: item.value.clone(),
                revision: item.revision,
                age: item.changed.map(|changed| now.saturating_duration_since(changed)),
            })
            .collect();
        (items, is_snapshot)
    }

    /// Drops upstreams that did not come back after the store's return; true if any was dropped.
    pub fn expire_lapsed(&mut self, now: Instant) -> bool {
        let mut expired = false;
        for item in self.items.values_mut() {
            if item.lapsed.as_ref().is_some_and(|(_, until)| *until <= now) {
                item.lapsed = None;
                expired = true;
            }
        }
        expired
    }

    /// Snapshot for the threads that carry traffic.
    #[must_use]
    pub fn view(&self) -> FleetView {
        let mut view = FleetView::default();
        view.revision = self.head;
        self.routing.iter().for_each(|routing| view.set_routing(routing.clone()));
        let mut upstreams = Vec::new();
        for item in self.items.values() {
            match &item.fact {
                Some(FleetFact::Evacuated(data_centre)) => {
                    view.evacuated.insert(data_centre.clone());
                }
                Some(FleetFact::Upstream(record)) => {
                    upstreams.push((record.clone(), item.changed, item.revision));
                }
                Some(FleetFact::Declared { .. } | FleetFact::Other | FleetFact::Routing(_)) => {}
                None => {
                    if let Some((record, _)) = &item.lapsed {
                        upstreams.push((record.clone(), None, item.revision));
                    }
                }
            }
        }
        view.set_upstreams(newest_at_each_address(upstreams));
        for (model, versions) in &self.declared {
            view.weights.insert(model.clone(), WeightsState::new(versions.clone()));
        }
        view
    }

    /// An upstream that was ready and vanishes around an outage of the store may only have been unable to renew its
    /// entry. It stays usable until upstreams have had time to register again.
    fn lapse(
        &self,
        before: &ItemState,
        item: &RawItem,
        now: Instant,
    ) -> Option<(Arc<UpstreamRecord>, Instant)> {
        if item.value.is_some() {
            return None;
        }
        let Some(FleetFact::Upstream(record)) = &before.fact else { return None };
        let until = self.unavailable? + LAPSE_GRACE;
        (!record.draining && now < until).then(|| (record.clone(), until))
    }

    fn bound_removed(&mut self) {
        let removed = self.items.values().filter(|item| item.value.is_none()).count();
        if removed <= MAX_REMOVED {
            return;
        }
        let oldest = self
            .items
            .iter()
            .filter(|(_, item)| item.value.is_none())
            .min_by_key(|(_, item)| item.revision)
            .map(|(key, item)| (key.clone(), item.revision));
        if let Some((key, revision)) = oldest {
            self.items.remove(&key);
            self.removed_floor = self.removed_floor.max(revision);
        }
    }
}

type ListedUpstream = (Arc<UpstreamRecord>, Option<Instant>, Revision);

/// Leaves one upstream at each address. After a crash the entry of the process before stays until it lapses, and only the
/// process that was started last can be there.
fn newest_at_each_address(
    listed: Vec<ListedUpstream>,
) -> Vec<(Arc<UpstreamRecord>, Option<Instant>)> {
    let mut newest: HashMap<SocketAddr, ListedUpstream> = HashMap::new();
    for upstream in listed {
        let rank = |(record, _, revision): &ListedUpstream| (record.born, *revision);
        let address = upstream.0.address;
        if newest.get(&address).is_none_or(|known| rank(known) < rank(&upstream)) {
            newest.insert(address, upstream);
        }
    }
    newest.into_values().map(|(record, changed, _)| (record, changed)).collect()
}
