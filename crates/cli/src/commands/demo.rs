//! `wigeon demo`: runs the whole system on loopback and checks its guarantees as callers and stand-ins observe them.

use std::process::ExitCode;

use clap::{Arg, ArgAction, ArgMatches, Command, value_parser};
use log::LevelFilter;
use standin::demo::{self, DemoOptions};

use crate::output::{STATUS_FAILED, report_error};

pub(super) fn cli() -> Command {
    Command::new("demo")
        .about("Run 8 entries and 20 upstreams on loopback through a data centre evacuation and a version rollout")
        .arg(
            Arg::new("seed")
                .long("seed")
                .value_name("N")
                .default_value("1")
                .value_parser(value_parser!(u64))
                .help("Random seed for request arrivals, prompts and weights"),
        )
        .arg(
            Arg::new("json")
                .long("json")
                .action(ArgAction::SetTrue)
                .help("Print only the report, as one line of JSON"),
        )
        .arg(
            Arg::new("log-level")
                .long("log-level")
                .value_name("LEVEL")
                .default_value("off")
                .value_parser(["off", "error", "warn", "info", "debug"])
                .help("Log level of all nodes; log lines go to standard error"),
        )
}

/// Exits with status 1 if a guarantee was violated.
pub(super) fn exec(matches: &ArgMatches) -> ExitCode {
    let level = matches.get_one::<String>("log-level").and_then(|name| name.parse().ok());
    node::logging::init(level.unwrap_or(LevelFilter::Off));
    let options = DemoOptions {
        seed: *matches.get_one::<u64>("seed").expect("the argument has a default"),
        json: matches.get_flag("json"),
        ..DemoOptions::default()
    };
    match demo::exec(&options) {
        Ok(true) => ExitCode::SUCCESS,
        Ok(false) => ExitCode::from(STATUS_FAILED),
        Err(error) => report_error(&error, STATUS_FAILED),
    }
}
