//! Simulation of an engine that serves a language model: it prefills prompts and generates tokens in passes over a
//! batch.
//!
//! With it, placement and admission policies can be compared in seconds and without real engines. Its costs are those
//! that the configuration states for the real engines.

mod batch;

pub use crate::batch::{EngineFull, EngineOutput, EngineRequest, EngineRequestId, EngineSim};
