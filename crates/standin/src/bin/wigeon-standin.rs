//! `wigeon-standin`: measurement commands that run against stand-ins for the platform.

use std::process::ExitCode;

use clap::Command;

fn main() -> ExitCode {
    let command = Command::new("wigeon-standin")
        .about("Measurement commands that run against stand-ins for the platform")
        .version(env!("CARGO_PKG_VERSION"))
        .subcommand_required(true)
        .subcommand(standin::measure::cli())
        .subcommand(standin::faults::cli())
        .subcommand(standin::report::cli());
    let matches = command.get_matches();
    match matches.subcommand() {
        Some(("measure", matches)) => standin::measure::exec(matches),
        Some(("faults", matches)) => standin::faults::exec(matches),
        Some(("report", matches)) => standin::report::exec(matches),
        _ => unreachable!("the command line requires a known subcommand"),
    }
}
