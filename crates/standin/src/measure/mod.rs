//! The `measure` subcommands. Each file defines the command line (`cli()`) and the entry point (`exec()`) of one.

pub mod control;
pub mod load;
pub mod plan;
pub mod serve;
pub mod weights;

use std::process::ExitCode;

use clap::{ArgMatches, Command};

/// Defines the command line of `measure`.
#[must_use]
pub fn cli() -> Command {
    Command::new("measure")
        .about("Runs a measurement on loopback and prints one line of JSON at the end")
        .subcommand_required(true)
        .subcommand(control::cli())
        .subcommand(load::cli())
        .subcommand(serve::cli())
        .subcommand(weights::cli())
}

/// Runs the subcommand. The exit status is 1 if a guarantee was violated and 2 if the measurement could not be run.
#[must_use]
pub fn exec(matches: &ArgMatches) -> ExitCode {
    match matches.subcommand() {
        Some(("control", matches)) => control::exec(matches),
        Some(("load", matches)) => load::exec(matches),
        Some(("serve", matches)) => serve::exec(matches),
        Some(("weights", matches)) => weights::exec(matches),
        _ => unreachable!("the command line requires a known subcommand"),
    }
}
