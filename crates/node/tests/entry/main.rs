//! One entry over real sockets, with fake agents behind it.

mod callers;
mod service;
mod stream;
mod support;
