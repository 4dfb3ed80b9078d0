//! Merges items by revision and keeps tombstones of removed items, so that stale data from any source never replaces
//! newer data.

use std::{
    collections::{HashMap, HashSet},
    net::SocketAddr,
    sync::Arc,
    time::{Duration, Instant},
};

use base::{ModelId, Revision};
use bytes::Bytes;

use crate::{
    declared::{DeclaredVersions, MissedChanges},
    era::{HeldValue, KnownItem, REGISTRATION_GRACE, StoreEra, era_and_number, held_after_restore},
    item::{DecodeItem, FleetChange, ItemError, ItemKey, ItemSource, ItemValue, RawItem},
    lost_config::{ActiveConfig, ConfigStamp, ConfigTracker},
    period::ReceivePeriod,
    record::{RoutingConfig, UpstreamRecord, WeightsVersion},
    view::{FleetView, RoutingIndex},
};

/// Maximum number of tombstones. A peer that is further behind than the oldest one receives a snapshot.
const MAX_TOMBSTONES: usize = 4_096;
/// Maximum size in bytes of a value that is kept although this process does not use it. All values are passed on to other
/// entries in one message.
const MAX_UNUSED_VALUE_BYTES: usize = 1 << 10;
/// Shortest suspension that is accounted for. Its duration is the difference of two clocks, which fluctuates slightly.
const MIN_SUSPENSION: Duration = Duration::from_millis(5);

#[derive(Debug)]
struct ItemState {
    revision: Revision,
    value: Option<Bytes>,
    decoded: Option<ItemValue>,
    /// Set if the value cannot be decoded.
    error: Option<ItemError>,
    /// Time at which the change was observed; `None` if the item was only found in a listing.
    changed: Option<Instant>,
    /// Value in force instead of the stored one, because the store was unavailable or has been restored from a copy.
    held: Option<HeldValue>,
    /// Upstream that was registered before the item was removed.
    removed: Option<Arc<UpstreamRecord>>,
}

impl ItemState {
    /// Value in force; `None` if the item counts as removed or cannot be decoded.
    fn in_force(&self) -> Option<&ItemValue> {
        match &self.held {
            Some(held) => held.value.as_ref(),
            None => self.decoded.as_ref(),
        }
    }

    /// Upstream that was registered last, if the item is removed now.
    fn removed_upstream(&self) -> Option<Arc<UpstreamRecord>> {
        match &self.decoded {
            Some(ItemValue::Upstream(record)) => Some(record.clone()),
            _ => self.removed.clone(),
        }
    }

    fn known(&self) -> KnownItem<'_> {
        match self.in_force() {
            Some(value) => KnownItem::Present(value),
            None => KnownItem::Removed(self.removed.as_deref()),
        }
    }
}

/// State of the fleet as one process knows it.
#[derive(Default)]
pub struct FleetState {
    items: HashMap<ItemKey, ItemState>,
    declared: DeclaredVersions,
    /// Time after which all changes were made that have not been received yet; `None` until the store was listed.
    unseen_since: Option<Instant>,
    /// Time for which the host had been suspended since boot when it was last checked; `None` before the first check.
    suspended: Option<Duration>,
    /// Revision up to which all changes have been received; `None` before the first listing.
    as_of: Option<Revision>,
    /// Tombstones of removals below this revision may have been dropped.
    tombstone_floor: Revision,
    /// Highest revision of any item.
    head: Revision,
    /// Last time at which the store was unavailable.
    unavailable_at: Option<Instant>,
    pub(crate) config: ConfigTracker,
}

impl FleetState {
    /// Creates the state of a process that has just started and knows no items.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Revision up to which all changes have been received; `None` before the first listing.
    #[must_use]
    pub fn as_of(&self) -> Option<Revision> {
        self.as_of
    }

    /// Highest revision of any item.
    #[must_use]
    pub fn head(&self) -> Revision {
        self.head
    }

    /// Records that the store was unavailable at `at`, as shown by an [`OutageDetector`](crate::OutageDetector).
    pub fn record_unavailable(&mut self, at: Instant) {
        self.unavailable_at = Some(at);
    }

    /// Records that all changes which have not been received yet were made after `since`.
    pub fn set_unseen_since(&mut self, since: Instant) {
        self.unseen_since = Some(since);
    }

    /// Records that all changes up to `revision` have been received.
    pub fn advance(&mut self, revision: Revision) {
        self.as_of = Some(self.as_of.map_or(revision, |known| known.max(revision)));
    }

    /// Applies one item. Returns `None` if its revision is not newer than the known one.
    pub fn apply(
        &mut self,
        mut item: RawItem,
        source: ItemSource,
        decoder: &dyn DecodeItem,
        period: ReceivePeriod,
    ) -> Option<FleetChange> {
        let now = period.end;
        if self.items.get(&item.key).is_some_and(|known| known.revision >= item.revision) {
            return None;
        }
        self.head = self.head.max(item.revision);
        let (decoded, error) =
            match item.value.as_ref().map(|value| decoder.decode(&item.key, value)) {
                Some(Ok(decoded)) => (Some(decoded), None),
                Some(Err(error)) => (None, Some(error)),
                None => (None, None),
            };
        if item.value.as_ref().is_some_and(|value| value.len() > MAX_UNUSED_VALUE_BYTES) {
            match (&decoded, &error) {
                (_, Some(error)) => item.value = Some(decoder.unreadable_value(error)),
                (Some(ItemValue::Other), _) => item.value = Some(Bytes::new()),
                _ => {}
            }
        }
        // Time limits that start with a declaration must not end late, so a declaration is dated as early as it can have
        // been made. The cold period of an upstream must not end early.
        let received = match &decoded {
            Some(ItemValue::Declared { .. }) => period.begin,
            _ => period.end,
        };
        let changed = match (item.age, source) {
            (Some(age), _) => received.checked_sub(age),
            (None, ItemSource::Change) => Some(received),
            (None, ItemSource::Relayed | ItemSource::Listing) => match &decoded {
                Some(ItemValue::Declared { .. }) => self.unseen_since,
                _ => None,
            },
        };
        if let Some(ItemValue::Declared { model, version }) = &decoded {
            let missed = match source {
                ItemSource::Change => MissedChanges::None,
                ItemSource::Relayed | ItemSource::Listing => {
                    self.unseen_since.map_or(MissedChanges::Any, MissedChanges::Since)
                }
            };
            let period = match (item.age, changed) {
                (None, Some(since)) => ReceivePeriod { begin: since, ..period },
                _ => period,
            };
            self.declared.record(model, *version, changed, period, missed);
        }
        let (era, _) = era_and_number(item.revision);
        if let Some(ItemValue::Routing(config)) = &decoded
            && self.is_outdated_copy(config, era)
        {
            return self.keep_routing(item, period.end);
        }
        let before = self.items.remove(&item.key);
        let held = before.as_ref().and_then(|before| self.lapsed_registration(before, &item, now));
        let removed = match (&decoded, &before) {
            (None, Some(before)) => before.removed_upstream(),
            _ => None,
        };
        let (before, known_error) =
            before.map_or((None, None), |before| (before.decoded, before.error));
        match (&before, &decoded) {
            (_, Some(ItemValue::Routing(config))) => {
                self.config.active = item.value.clone().map(|value| ActiveConfig {
                    index: Arc::new(RoutingIndex::new(config.clone())),
                    key: item.key.clone(),
                    value,
                    revision: item.revision,
                });
            }
            // A configuration that cannot be decoded leaves the previous one in force.
            // The same holds for one that a restored store has lost.
            (Some(ItemValue::Routing(_)), None)
                if item.value.is_none()
                    && self.config.stamp().is_some_and(|known| era_of(known) == era) =>
            {
                self.config.active = None;
            }
            _ => {}
        }
        let change = FleetChange {
            key: item.key.clone(),
            revision: item.revision,
            before,
            after: decoded.clone(),
            error: error.clone().filter(|error| known_error.as_ref() != Some(error)),
            age: changed.map(|changed| now.saturating_duration_since(changed)),
        };
        let state = ItemState {
            revision: item.revision,
            value: item.value,
            decoded,
            error,
            changed,
            held,
            removed,
        };
        self.items.insert(item.key, state);
        self.drop_oldest_tombstone();
        Some(change)
    }

    /// Applies a complete listing that was started at revision `as_of`. Items that are not listed and not newer than
    /// `as_of` are removed.
    pub fn apply_listing(
        &mut self,
        items: Vec<RawItem>,
        as_of: Revision,
        decoder: &dyn DecodeItem,
        period: ReceivePeriod,
    ) -> Vec<FleetChange> {
        if self.as_of.is_some_and(|known| known > as_of) {
            return Vec::new();
        }
        let is_restored =
            self.as_of.is_some_and(|known| era_and_number(known).0 < era_and_number(as_of).0);
        if is_restored {
            self.unavailable_at = Some(period.end);
        }
        self.config.record_listing(era_and_number(as_of).0);
        let listed: HashSet<ItemKey> = items.iter().map(|item| item.key.clone()).collect();
        let unlisted: Vec<ItemKey> = self
            .items
            .iter()
            .filter(|(key, item)| {
                item.value.is_some() && item.revision <= as_of && !listed.contains(*key)
            })
            .map(|(key, _)| key.clone())
            .collect();
        let removals = unlisted.into_iter().map(|key| RawItem {
            key,
            value: None,
            revision: as_of,
            age: None,
        });
        let changes = items
            .into_iter()
            .map(|item| (item, ItemSource::Listing))
            .chain(removals.map(|item| (item, ItemSource::Change)))
            .filter_map(|(item, source)| {
                if is_restored {
                    self.apply_copy(item, source, decoder, period)
                } else {
                    self.apply(item, source, decoder, period)
                }
            })
            .collect();
        self.tombstone_floor = self.tombstone_floor.max(as_of);
        self.advance(as_of);
        changes
    }

    /// Applies an item of a store that has been restored from a copy, or its absence there.
    fn apply_copy(
        &mut self,
        item: RawItem,
        source: ItemSource,
        decoder: &dyn DecodeItem,
        period: ReceivePeriod,
    ) -> Option<FleetChange> {
        let key = item.key.clone();
        let before = self.items.get(&key).map(|known| (known.value.clone(), known.changed));
        let known = self.items.get(&key).map_or(KnownItem::Unknown, ItemState::known);
        let listed = item.value.as_ref().and_then(|value| decoder.decode(&key, value).ok());
        let held = held_after_restore(known, listed.as_ref(), period.end);
        let change = self.apply(item, source, decoder, period)?;
        let state = self.items.get_mut(&key)?;
        state.held = held;
        if let Some((value, changed)) = before
            && value == state.value
        {
            // The copy contains the item unchanged, so its date is still known.
            state.changed = changed;
        }
        Some(change)
    }

    /// True if a configuration is older than the one in force, which was received before the store was restored.
    fn is_outdated_copy(&self, config: &RoutingConfig, era: StoreEra) -> bool {
        self.config
            .stamp()
            .is_some_and(|known| era_of(known) < era && config.version < known.version)
    }

    /// Keeps the configuration in force under the revision of an outdated one.
    fn keep_routing(&mut self, item: RawItem, now: Instant) -> Option<FleetChange> {
        let state = self.items.get_mut(&item.key)?;
        state.revision = item.revision;
        let value = state.decoded.clone();
        Some(FleetChange {
            key: item.key,
            revision: item.revision,
            before: value.clone(),
            after: value,
            error: None,
            age: state.changed.map(|changed| now.saturating_duration_since(changed)),
        })
    }

    /// Items that are missing at a peer that has received all changes up to `after`. The flag is true for a snapshot of
    /// all items, in which case the peer removes all other items.
    #[must_use]
    pub fn items_after(&self, after: Revision, now: Instant) -> (Vec<RawItem>, bool) {
        let is_snapshot = after < self.tombstone_floor;
        let is_missing = |item: &ItemState| {
            if is_snapshot { item.value.is_some() } else { item.revision > after }
        };
        let items = self
            .items
            .iter()
            .filter(|(_, item)| is_missing(item))
            .map(|(key, item)| RawItem {
                key: key.clone(),
                value: item.value.clone(),
                revision: item.revision,
                age: self.change_date(item).map(|changed| now.saturating_duration_since(changed)),
            })
            .collect();
        (items, is_snapshot)
    }

    fn change_date(&self, item: &ItemState) -> Option<Instant> {
        match &item.decoded {
            Some(ItemValue::Declared { model, version }) => self.declared.date_of(model, *version),
            _ => item.changed,
        }
    }

    /// Models whose latest declaration this process cannot date more closely than by `limit`, because it has started or
    /// read the store too late to observe it. Only declarations received after `since` are considered.
    #[must_use]
    pub fn poorly_dated(&self, limit: Duration, since: Instant) -> Vec<(ModelId, WeightsVersion)> {
        self.declared.poorly_dated(limit, since)
    }

    /// Applies the date of a declaration that a peer knows more closely; true if it improves the known one. Every
    /// process dates a declaration no later than it was made, so the latest date is the best one.
    pub fn improve_date(
        &mut self,
        model: &ModelId,
        version: WeightsVersion,
        period: ReceivePeriod,
        age: Duration,
    ) -> bool {
        self.declared.improve_date(model, version, period, age)
    }

    /// Records for how long the host has been suspended since boot, and returns the increase since the last call. The
    /// monotonic clock stands still while a host is suspended, but declarations get older.
    pub fn record_suspended(&mut self, total: Duration) -> Duration {
        let known = *self.suspended.get_or_insert(total);
        let increase = total.saturating_sub(known);
        if increase < MIN_SUSPENSION {
            return Duration::ZERO;
        }
        self.suspended = Some(total);
        self.declared.record_suspension(increase);
        self.unseen_since = self.unseen_since.and_then(|since| since.checked_sub(increase));
        increase
    }

    /// Ends the time for which values stay in force that were not written again after an outage or a restore of the
    /// store; true if any ended.
    pub fn remove_expired(&mut self, now: Instant) -> bool {
        let mut expired = self.config.expire(now);
        for item in self.items.values_mut() {
            if item.held.as_ref().is_some_and(|held| held.until <= now) {
                item.held = None;
                expired = true;
            }
        }
        expired
    }

    /// Creates a snapshot for the threads that forward requests.
    #[must_use]
    pub fn view(&self) -> FleetView {
        let mut view = FleetView::default();
        view.revision = self.head;
        self.config.active.iter().for_each(|config| view.set_routing(config.index.clone()));
        view.set_config_behind(self.config.is_behind(self.as_of));
        let mut upstreams = Vec::new();
        for item in self.items.values() {
            match item.in_force() {
                Some(ItemValue::Evacuated(data_centre)) => {
                    view.evacuated.insert(data_centre.clone());
                }
                Some(ItemValue::Upstream(record)) => {
                    let changed = if item.held.is_some() { None } else { item.changed };
                    upstreams.push((record.clone(), changed, item.revision));
                }
                Some(ItemValue::Declared { .. } | ItemValue::Other | ItemValue::Routing(_))
                | None => {}
            }
        }
        let is_known = |service: &str| {
            let config = self.config.active.as_ref();
            config.is_none_or(|config| config.index.has_service(service))
        };
        view.set_upstreams(newest_per_address(upstreams, is_known));
        for (model, state) in self.declared.states() {
            view.weights.insert(model.clone(), state);
        }
        view
    }

    /// Decides whether a removed upstream stays usable, and until when. An upstream that was ready and is removed
    /// around an outage of the store may only have been unable to renew its registration. It is kept until upstreams
    /// have had time to register again.
    fn lapsed_registration(
        &self,
        before: &ItemState,
        item: &RawItem,
        now: Instant,
    ) -> Option<HeldValue> {
        if item.value.is_some() {
            return None;
        }
        let value = before.decoded.as_ref()?;
        let ItemValue::Upstream(record) = value else { return None };
        let until = self.unavailable_at? + REGISTRATION_GRACE;
        (!record.draining && now < until).then(|| HeldValue { value: Some(value.clone()), until })
    }

    fn drop_oldest_tombstone(&mut self) {
        let tombstones = self.items.values().filter(|item| item.value.is_none()).count();
        if tombstones <= MAX_TOMBSTONES {
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
            self.tombstone_floor = self.tombstone_floor.max(revision);
        }
    }
}

fn era_of(stamp: ConfigStamp) -> StoreEra {
    era_and_number(stamp.revision).0
}

type ListedUpstream = (Arc<UpstreamRecord>, Option<Instant>, Revision);

/// Keeps only the upstream that was started last at each address. After a crash, the registration of the previous
/// process stays in the store until it expires, although that process cannot be running any more. An item of a service
/// that is not known names no upstream, so it replaces none.
fn newest_per_address(
    listed: Vec<ListedUpstream>,
    is_known: impl Fn(&str) -> bool,
) -> Vec<(Arc<UpstreamRecord>, Option<Instant>)> {
    let mut newest: HashMap<SocketAddr, ListedUpstream> = HashMap::new();
    for upstream in listed {
        let recency = |(record, _, revision): &ListedUpstream| {
            (is_known(&record.service), record.started_ms, *revision)
        };
        let address = upstream.0.address;
        if newest.get(&address).is_none_or(|known| recency(known) < recency(&upstream)) {
            newest.insert(address, upstream);
        }
    }
    newest.into_values().map(|(record, changed, _)| (record, changed)).collect()
}
