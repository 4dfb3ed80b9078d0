//! Requests that wait at an entry for capacity, and when refused callers return. This crate does no I/O.

mod lane;
mod ledger;
mod rate;
mod room;
mod schedule;

pub use limit::WorkId;

pub use crate::{
    lane::WorkLane,
    room::{LeaveCause, RankQueue, RoomBounds, RoomOffer, WaitingRoom, WaitingWork},
    schedule::{CapacityForecast, RETRY_AFTER_RANGE, ReturnSchedule, time_since_first_attempt},
};
