//! Requests that wait at an entry for capacity, and when refused callers return. This crate does no I/O.

mod lane;
mod rate;
mod room;

pub use limit::WorkId;

pub use crate::{
    lane::WorkLane,
    room::{LeaveCause, RoomBounds, RoomOffer, WaitingRoom, WaitingWork},
};
