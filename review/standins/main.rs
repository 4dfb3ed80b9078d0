//! Stand-ins of the platform, its workers and its callers for the cases of this review, with the standard library only.
//! Each case starts `target/release/wigeonhaven` as separate processes on loopback, as `deploy/system.toml` does.

mod bodies;
mod engine;
mod foreign;
mod http;
mod leaving;
mod logs;
mod net;
mod sha256;
mod store;
mod truncated;
mod whole;

use std::{env, process::exit, thread};

/// The rule held.
pub const HELD: i32 = 0;
/// The rule was broken.
pub const BROKEN: i32 = 1;
/// The case could not run.
pub const FAILED: i32 = 2;

fn main() {
    let case = thread::spawn(run);
    let status = case.join().unwrap_or(FAILED);
    net::clean_up();
    exit(status);
}

fn run() -> i32 {
    let arguments: Vec<String> = env::args().skip(1).collect();
    let words: Vec<&str> = arguments.iter().map(String::as_str).collect();
    let result = match words[..] {
        ["engine", address, id, born, version, is_unframed] => {
            engine::run_process(address, id, born, version, is_unframed)
        }
        ["bodies", folder] => bodies::run(folder),
        ["collect"] => logs::collect(),
        ["logs", folder] => logs::run(folder),
        ["truncated", folder] => truncated::run(folder),
        ["whole", folder] => whole::run(folder),
        ["foreign", folder] => foreign::run(folder),
        ["leaving", folder] => leaving::run(folder),
        _ => Err("usage: standins CASE FOLDER".into()),
    };
    result.unwrap_or_else(|error| {
        eprintln!("the case could not run: {error}");
        FAILED
    })
}
