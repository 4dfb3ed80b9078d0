//! What a process knows of the fleet: routing configuration, upstreams, declared weights, evacuated data centres.
//!
//! The knowledge arrives as keyed items with revisions, from the platform or from a peer, in any order and more than
//! once. Merging is sans-I/O, so that stale, repeated and broken items can be tested one by one.

mod knowledge;
mod record;
mod view;

pub use crate::{
    knowledge::{
        FactDecoder, FactError, FactSource, FleetFact, FleetKnowledge, ItemKey, KnowledgeDelta,
        RawItem,
    },
    record::{
        ClientLimits, EngineCosts, EngineModel, EngineRecord, LoadedWeights, OriginRecord,
        RepeatRule, RouteBackend, RouteRecord, RoutingConfig, ServiceRecord, TeamRecord,
        UpstreamRecord, WeightsVersion,
    },
    view::{FleetView, RouteMatch, RoutingIndex, WeightsState},
};
