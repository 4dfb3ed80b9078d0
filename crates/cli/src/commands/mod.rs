//! Subcommands of `wigeon`, one module each.

mod check;
mod demo;
pub mod diff;
pub mod explain;
mod report;
pub mod status;

use std::process::ExitCode;

use clap::Command;

/// Returns the command line of `wigeon` with all subcommands.
#[must_use]
pub fn cli() -> Command {
    Command::new("wigeon")
        .version(env!("CARGO_PKG_VERSION"))
        .about("Validates configurations, shows the state of the fleet and runs a demo")
        .subcommand_required(true)
        .arg_required_else_help(true)
        .subcommand(check::cli())
        .subcommand(diff::cli())
        .subcommand(status::cli())
        .subcommand(report::cli())
        .subcommand(explain::cli())
        .subcommand(demo::cli())
}

/// Parses the arguments, runs the subcommand and returns its exit status.
#[must_use]
pub fn run() -> ExitCode {
    match cli().get_matches().subcommand() {
        Some(("check", matches)) => check::exec(matches),
        Some(("diff", matches)) => diff::exec(matches),
        Some(("status", matches)) => status::exec(matches),
        Some(("report", matches)) => report::exec(matches),
        Some(("explain", matches)) => explain::exec(matches),
        Some(("demo", matches)) => demo::exec(matches),
        _ => unreachable!("clap accepts only known subcommands"),
    }
}
