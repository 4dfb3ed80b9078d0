//! Load shedding: which requests an entry admits while there is too little capacity for all of them. This crate does no
//! I/O.

mod contention;

pub use crate::contention::{ContentionTable, RequestRank};
