//! Guards the promises of the agent over real sockets.

mod bench;
mod keyed;
mod streams;
mod upstream;
