//! Requests that wait at an entry for capacity, and when refused callers return. This crate does no I/O.
