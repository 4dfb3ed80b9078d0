//! `measure control`: how long a configuration takes to become active on every node, and what its distribution costs
//! each node.

mod documents;
mod fault;
mod figures;
mod node;
mod run;
mod usage;

use std::{process::ExitCode, time::Duration};

use clap::{Arg, ArgMatches, Command, builder::PossibleValuesParser, value_parser};

pub use self::{
    fault::ControlFault,
    figures::ControlReport,
    run::{ControlOptions, measure_control},
};
use crate::error::StandinError;

/// Maximum duration of a run, in seconds.
const MAX_DURATION_S: u64 = 60;

/// Defines the command line of `measure control`.
#[must_use]
pub fn cli() -> Command {
    Command::new("control")
        .about("Measures the distribution of configurations over loopback sockets")
        .arg(number("nodes", "50", "Number of nodes"))
        .arg(number(
            "seed",
            "1",
            "Seed for the published changes and for the hosts affected by a fault",
        ))
        .arg(number("seconds", "30", "Seconds during which changes are published, at most 60"))
        .arg(number("changes-a-day", "86400", "Published changes per day; the target is 9,600"))
        .arg(number("upstreams", "600", "Number of upstreams in the configuration"))
        .arg(number("listed-hosts", "0", "Hosts in the host list, not fewer than the nodes"))
        .arg(
            Arg::new("fault")
                .long("fault")
                .value_name("NAME")
                .value_parser(PossibleValuesParser::new(ControlFault::ALL.map(ControlFault::name)))
                .help("Fault injected after a third of the run"),
        )
}

fn number(name: &'static str, default: &'static str, help: &'static str) -> Arg {
    Arg::new(name)
        .long(name)
        .value_name("N")
        .default_value(default)
        .value_parser(value_parser!(u64))
        .help(help)
}

/// Runs the command and prints the report as one JSON object on the last line of output.
#[must_use]
pub fn exec(matches: &ArgMatches) -> ExitCode {
    match options(matches).and_then(|options| measure_control(&options)) {
        Ok(report) => {
            println!("{}", serde_json::to_string(&report).unwrap_or_default());
            ExitCode::SUCCESS
        }
        Err(error) => {
            eprintln!("error: {error}");
            ExitCode::FAILURE
        }
    }
}

fn options(matches: &ArgMatches) -> Result<ControlOptions, StandinError> {
    let number = |name: &'static str, min: u64, max: u64, allowed: &'static str| {
        let value = *matches.get_one::<u64>(name).expect("the option has a default");
        if (min..=max).contains(&value) {
            Ok(value)
        } else {
            Err(StandinError::Option { option: name, value: value.to_string(), allowed })
        }
    };
    let as_size = |value: u64| usize::try_from(value).unwrap_or(usize::MAX);
    let fault = matches.get_one::<String>("fault").and_then(|name| ControlFault::from_name(name));
    Ok(ControlOptions {
        nodes: as_size(number("nodes", 1, 1_000, "1 to 1000")?),
        seed: number("seed", 0, u64::MAX, "any number")?,
        duration: Duration::from_secs(number("seconds", 6, MAX_DURATION_S, "6 to 60")?),
        changes_a_day: number("changes-a-day", 9_600, 8_640_000, "9600 to 8640000")?,
        upstreams: as_size(number("upstreams", 1, 7_000, "1 to 7000")?),
        listed_hosts: as_size(number("listed-hosts", 0, 20_000, "0 to 20000")?),
        fault,
    })
}
