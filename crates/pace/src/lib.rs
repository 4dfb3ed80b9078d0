//! Capacity of upstreams, as it is learned from their responses. This crate does no I/O.

mod occupancy;

pub use crate::occupancy::UpstreamOccupancy;
