//! Detects that a restore of the store has lost a configuration that another process still uses.
//!
//! A process that starts after a restore finds only the older configuration of the copy in the store. Entries announce
//! the configuration that each has in force. One that is behind another entry, and does not receive the newer
//! configuration from the store, must fetch it from there, and does not know until then which regions may serve a
//! request.

use std::{
    net::SocketAddr,
    sync::Arc,
    time::{Duration, Instant},
};

use base::Revision;
use bytes::Bytes;
use serde::{Deserialize, Serialize};

use crate::{
    era::{StoreEra, era_and_number},
    item::{DecodeItem, ItemError, ItemKey, ItemValue, RawItem},
    state::FleetState,
    view::RoutingIndex,
};

/// Time from the start of a process for which it listens for newer configurations before it uses the one of a restored
/// store. Entries of its region send three heartbeats in that time, entries of other regions one or two.
pub const ANNOUNCEMENT_WAIT: Duration = Duration::from_millis(800);

/// Identifies a configuration that a process has in force.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct ConfigStamp {
    /// Version that the configuration states.
    pub version: u64,
    /// Revision under which the process received it. The era of the revision is that of the store which contained it.
    pub revision: Revision,
}

/// Configuration in force, with the item in which it was received.
pub(crate) struct ActiveConfig {
    pub(crate) index: Arc<RoutingIndex>,
    pub(crate) key: ItemKey,
    pub(crate) value: Bytes,
    pub(crate) revision: Revision,
}

impl ActiveConfig {
    fn stamp(&self) -> ConfigStamp {
        ConfigStamp { version: self.index.config().version, revision: self.revision }
    }
}

/// Configuration in force, and the newest one that another process has announced.
#[derive(Default)]
pub(crate) struct ConfigTracker {
    pub(crate) active: Option<ActiveConfig>,
    announced: Option<(ConfigStamp, SocketAddr)>,
    /// Time until which other processes may still announce a newer configuration; `None` if it has passed.
    listening_until: Option<Instant>,
}

impl ConfigTracker {
    pub(crate) fn stamp(&self) -> Option<ConfigStamp> {
        self.active.as_ref().map(ActiveConfig::stamp)
    }

    pub(crate) fn listen_until(&mut self, until: Instant) {
        self.listening_until = Some(until);
    }

    /// Records a listing of the store in this era. One that was never restored contains the newest configuration, which
    /// this process will not lose if the store is restored later.
    pub(crate) fn record_listing(&mut self, era: StoreEra) {
        if era == 0 {
            self.listening_until = None;
        }
    }

    /// Ends the time set by [`Self::listen_until`]; true if it ends with this call.
    pub(crate) fn expire(&mut self, now: Instant) -> bool {
        self.listening_until.take_if(|until| *until <= now).is_some()
    }

    /// Keeps the announcement of the highest version, with the process that made it last.
    pub(crate) fn record_announcement(&mut self, stamp: ConfigStamp, peer: SocketAddr) {
        if self.announced.is_none_or(|(known, _)| known.version <= stamp.version) {
            self.announced = Some((stamp, peer));
        }
    }

    /// Process from which the configuration that this one lacks has to be fetched; `None` if it lacks none. `as_of` is
    /// the revision up to which the items of the store have been received.
    pub(crate) fn source(&self, as_of: Option<Revision>) -> Option<SocketAddr> {
        let (stamp, peer) = self.announced?;
        self.is_lost(stamp, as_of?).then_some(peer)
    }

    /// True if this process may not know the restrictions that apply to a request.
    pub(crate) fn is_behind(&self, as_of: Option<Revision>) -> bool {
        self.source(as_of).is_some() || (as_of.is_some() && self.listening_until.is_some())
    }

    /// True if a configuration that another process uses is newer than the one in force, and will not be received from
    /// the store: the store has been restored since it contained that configuration, or contains an older one under the
    /// same revision. Versions alone do not decide this, because operators may go back to a lower one.
    pub(crate) fn is_lost(&self, stamp: ConfigStamp, as_of: Revision) -> bool {
        let Some(known) = self.stamp() else {
            return era_and_number(stamp.revision).0 < era_and_number(as_of).0;
        };
        let era = era_and_number(stamp.revision).0;
        let is_replaced =
            era_and_number(known.revision).0 == era && known.revision > stamp.revision;
        let is_of_earlier_era = era < era_and_number(as_of).0 && !is_replaced;
        stamp.version > known.version && (is_of_earlier_era || known.revision == stamp.revision)
    }

    /// Configuration in force as an item, if its version is above `version`.
    pub(crate) fn item_above(&self, version: Option<u64>) -> Option<RawItem> {
        let active = self.active.as_ref()?;
        version.is_none_or(|version| active.stamp().version > version).then(|| RawItem {
            key: active.key.clone(),
            value: Some(active.value.clone()),
            revision: active.revision,
            age: None,
        })
    }
}

impl FleetState {
    /// Configuration in force, as announced to other processes.
    #[must_use]
    pub fn config_stamp(&self) -> Option<ConfigStamp> {
        self.config.stamp()
    }

    /// Sets the time until which the configuration of a restored store is not used, because other processes may still
    /// announce a newer one.
    pub fn listen_until(&mut self, until: Instant) {
        self.config.listen_until(until);
    }

    /// Records the configuration that another process has in force. True if this process may not know all restrictions
    /// from now on.
    pub fn record_announcement(&mut self, stamp: ConfigStamp, peer: SocketAddr) -> bool {
        let was_behind = self.config.is_behind(self.as_of());
        self.config.record_announcement(stamp, peer);
        !was_behind && self.config.is_behind(self.as_of())
    }

    /// Process from which a configuration that a restore of the store has lost must be fetched; `None` if this process
    /// lacks none.
    #[must_use]
    pub fn config_source(&self) -> Option<SocketAddr> {
        self.config.source(self.as_of())
    }

    /// Configuration in force, for a process that knows `version`; `None` if it has no higher version.
    #[must_use]
    pub fn config_above(&self, version: Option<u64>) -> Option<RawItem> {
        self.config.item_above(version)
    }

    /// Puts a configuration into force that another process has kept although the store has lost it. False if this
    /// process does not lack it. The store's older versions stay without effect until a newer one is written.
    ///
    /// # Errors
    /// Fails if the item is no configuration that can be decoded.
    pub fn adopt_config(
        &mut self,
        item: RawItem,
        decoder: &dyn DecodeItem,
    ) -> Result<bool, ItemError> {
        let value = item.value.ok_or_else(|| ItemError::new("the configuration is empty"))?;
        let ItemValue::Routing(config) = decoder.decode(&item.key, &value)? else {
            return Err(ItemError::new("the item is no configuration"));
        };
        let (key, revision) = (item.key, item.revision);
        let stamp = ConfigStamp { version: config.version, revision };
        if !self.as_of().is_some_and(|as_of| self.config.is_lost(stamp, as_of)) {
            return Ok(false);
        }
        let index = Arc::new(RoutingIndex::new(config));
        self.config.active = Some(ActiveConfig { index, key, value, revision });
        Ok(true)
    }
}
