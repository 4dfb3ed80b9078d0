//! Stand-ins for the platform services, simulated callers, the demo and the measurement commands.
//!
//! The stand-ins implement the HTTP interfaces of the platform on loopback. They record the work that they run, so that
//! [`observer`] can compare it with the responses that callers received.

pub mod caller;
pub mod demo;
pub mod error;
pub mod faults;
pub mod fleet;
mod fleet_probe;
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
