//! Interfaces to the platform: one trait per platform component, and HTTP implementations based on hyper.
//!
//! The rest of the system uses only the traits, so that supporting another protocol requires only a new implementation.

mod engine;
mod error;
mod http;
mod service;
mod source;

pub use crate::{
    engine::{
        CacheEvent, CacheEventKind, EngineStatus, FencingNumber, GenerateRequest, HttpEngine,
        LoadOrder, LoadedModel, ModelEngine,
    },
    error::PlatformError,
    http::{FetchedResponse, HttpClient, TransferObserver, UpstreamResponse, parse},
    service::{HttpService, PlainService, ServiceRequest, ServiceStatus},
    source::{
        ConfigService, HostDirectory, HttpConfigService, HttpHostDirectory, HttpWeightSource,
        WeightSource,
    },
};
