//! Stand-ins for the platform services, one for each HTTP interface.

pub mod catalog;
pub mod config_service;
pub mod engine;
mod engine_state;
pub mod pace;
pub mod service;
pub mod token;
pub mod weight_store;
pub mod work;
