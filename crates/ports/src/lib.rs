//! Borders to the platform: one trait for each of its parts, and adapters that speak HTTP through hyper.
//!
//! The rest of the system knows only the traits, so that another protocol of the platform replaces an adapter.

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
    http::{HttpClient, UpstreamAnswer, parse},
    service::{CallRequest, HttpService, PlainService, ServiceStatus},
    source::{
        ConfigService, HostDirectory, HttpConfigService, HttpHostDirectory, HttpWeightSource,
        WeightSource,
    },
};
