//! Load shedding: which requests an entry admits while there is too little capacity for all of them. This crate does no
//! I/O.

mod contention;
mod control;
mod request;

pub use crate::{
    contention::{ContentionTable, RequestRank},
    control::ShedControl,
    request::{ShedOutcome, ShedRequest},
};
