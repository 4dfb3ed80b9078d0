//! Measuring commands, one file per subcommand with `cli()` beside `exec()`.

pub mod plan;
pub mod serve;

use clap::{ArgMatches, Command};

use crate::error::StandinError;

/// Command line of `measure`.
#[must_use]
pub fn cli() -> Command {
    Command::new("measure")
        .about("Runs a measurement on loopback and prints one line of JSON at the end")
        .subcommand_required(true)
        .subcommand(serve::cli())
}

/// Runs the subcommand; `true` if every promise held.
///
/// # Errors
/// Fails if the measurement cannot be carried out.
pub fn exec(matches: &ArgMatches) -> Result<bool, StandinError> {
    match matches.subcommand() {
        Some(("serve", matches)) => serve::exec(matches),
        _ => unreachable!("the command line requires a known subcommand"),
    }
}
