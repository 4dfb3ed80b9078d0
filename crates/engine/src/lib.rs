//! A model of an engine that serves a language model: it reads prompts and writes tokens in passes over a batch.
//!
//! It exists so that placement and admission can be compared in seconds, without engines. Costs are those that the
//! configuration states for the real ones.

mod batch;

pub use crate::batch::{EngineFull, EngineOutput, EngineSim, EngineWork, WorkId};
