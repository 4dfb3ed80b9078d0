//! Subcommands of `wigeon`, one file each.

mod check;

use std::process::ExitCode;

use clap::Command;

/// The whole command line.
#[must_use]
pub fn cli() -> Command {
    Command::new("wigeon")
        .version(env!("CARGO_PKG_VERSION"))
        .about("Checks configurations, shows the state of the fleet and runs the demo")
        .subcommand_required(true)
        .arg_required_else_help(true)
        .subcommand(check::cli())
}

/// Parses the arguments and runs the subcommand.
#[must_use]
pub fn run() -> ExitCode {
    match cli().get_matches().subcommand() {
        Some(("check", matches)) => check::exec(matches),
        _ => unreachable!("clap accepts only known subcommands"),
    }
}
