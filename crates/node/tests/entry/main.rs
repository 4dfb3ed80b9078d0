//! Tests of one entry with stand-ins for its agents, over real sockets.

mod callers;
mod service;
mod stream;
mod support;
