//! Load shedding: which requests an entry admits while there is too little capacity for all of them. This crate does no
//! I/O.

mod contention;
mod control;
mod count;
mod level;
mod request;
mod service;
mod share;
mod status;

pub use crate::{
    contention::{ContentionTable, RequestRank},
    control::ShedControl,
    level::LoadForecast,
    request::{ShedCause, ShedLimit, ShedOutcome, ShedRecord, ShedRequest},
    status::{RankUsage, ServiceUsage, TeamUsage},
};
