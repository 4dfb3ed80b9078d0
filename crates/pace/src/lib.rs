//! Capacity of upstreams, as it is learned from their responses. This crate does no I/O.

mod evidence;
mod occupancy;
mod probe;
mod share;
mod table;

pub use crate::{
    occupancy::UpstreamOccupancy,
    probe::{PROBE_AFTER, ProbeCandidate, choose_probe},
    share::SpeedShare,
    table::{MAX_SHARED_UPSTREAMS, ResponseSample, SpeedEstimate, SpeedTable, StatedLoad},
};
