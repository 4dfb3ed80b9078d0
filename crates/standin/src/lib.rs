//! Stand-ins of the platform, callers, observers, the demo and the measuring commands.
//!
//! The stand-ins speak the HTTP interfaces of the platform on loopback. They record what they really did, so that an
//! observer can compare it with what callers were told.

pub mod caller;
pub mod demo;
pub mod error;
pub mod faults;
pub mod fleet;
mod force_probe;
pub mod http;
pub mod http_client;
pub mod ledger;
pub mod measure;
pub mod naive;
pub mod observer;
pub mod platform;
pub mod report;

pub use crate::{
    error::StandinError,
    platform::{
        catalog::{WeightCatalog, WeightImage},
        config_service::ConfigService,
        engine::{EngineOptions, ModelEngine},
        service::{PlainService, ServiceOptions},
        weight_store::{StoreFault, StoreOptions, WeightStore},
        work::{LoadGauge, WorkEnd, WorkLog},
    },
};
