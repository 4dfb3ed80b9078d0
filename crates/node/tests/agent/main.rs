//! Tests of one agent over real sockets.

mod fixture;
mod keyed;
mod streams;
mod upstream;
