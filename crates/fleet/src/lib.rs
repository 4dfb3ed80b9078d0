//! State of the fleet as one process knows it: routing configuration, upstreams, declared weights and evacuated data
//! centres.
//!
//! The state arrives as keyed items with revisions, from the platform or from a peer, in any order and possibly more
//! than once. Merging does no I/O, so that stale, repeated and undecodable items can be tested in isolation.

mod declared;
mod era;
mod item;
mod lost_config;
mod outage;
mod period;
mod record;
mod region;
mod state;
mod view;

pub use crate::{
    era::{StoreEra, era_and_number, revision_in},
    item::{DecodeItem, FleetChange, ItemError, ItemKey, ItemSource, ItemValue, RawItem},
    lost_config::{ANNOUNCEMENT_WAIT, ConfigStamp},
    outage::OutageDetector,
    period::{ReceivePeriod, WAIT_CHECK_INTERVAL, WatchTimer},
    record::{
        ClientLimits, EngineCosts, EngineModel, EngineRecord, LoadedWeights, OriginRecord,
        RetryPolicy, RouteBackend, RouteRecord, RoutingConfig, ServiceRecord, TeamRecord,
        UpstreamRecord, WeightsVersion,
    },
    region::RegionPolicy,
    state::FleetState,
    view::{FleetView, RouteMatch, RoutingIndex, WeightsLimits, WeightsState},
};
