//! `measure load`: compares placement and admission policies on simulated engines, in one process and within seconds.

mod policy;
mod sim;
mod trace;

use std::{path::PathBuf, process::ExitCode, time::Duration};

use clap::{Arg, ArgMatches, Command, value_parser};
use fleet::{EngineCosts, EngineRecord};
use serde::Serialize;

pub use self::{
    policy::{ConnectionPolicy, ForecastPolicy, PlacementPolicy},
    sim::{EngineIndex, FleetOptions, LoadFigures, simulate_load},
    trace::{TraceError, TraceRequest, generate_trace, read_trace},
};

/// Exit status if the measurement could not be run.
const STATUS_NOT_MEASURED: u8 = 2;

/// Result of one policy, printed as one line of JSON.
#[derive(Clone, Debug, Serialize)]
struct LoadReport<'a> {
    policy: &'a str,
    entries: usize,
    engines: u16,
    added: u16,
    seed: u64,
    #[serde(flatten)]
    figures: LoadFigures,
}

/// Defines the command line of `measure load`.
pub(super) fn cli() -> Command {
    let number = |name: &'static str, default: &'static str, help: &'static str| {
        Arg::new(name).long(name).value_name("NUMBER").default_value(default).help(help)
    };
    Command::new("load")
        .about("Compares placement and admission policies on simulated engines")
        .arg(
            Arg::new("trace")
                .long("trace")
                .value_name("FILE")
                .value_parser(value_parser!(PathBuf))
                .help("Trace with one JSON object per line: at_ms, prompt, answer, target_ms, worth"),
        )
        .arg(
            number("rate", "230", "Requests per second at full load, if no trace is given")
                .value_parser(value_parser!(u32).range(1..=100_000)),
        )
        .arg(
            number("seconds", "30", "Duration, if no trace is given")
                .value_parser(value_parser!(u32).range(1..=3_600)),
        )
        .arg(number("entries", "8", "Entries").value_parser(value_parser!(u16).range(1..=1_000)))
        .arg(
            number("engines", "16", "Engines that serve from the start")
                .value_parser(value_parser!(u16).range(1..=10_000)),
        )
        .arg(
            number("added", "10", "Engines that are added during the run")
                .value_parser(value_parser!(u16).range(0..=10_000)),
        )
        .arg(
            number("added-at", "9", "Second at which the added engines begin to serve")
                .value_parser(value_parser!(u32).range(0..=3_600)),
        )
        .arg(number("seed", "1", "Seed").value_parser(value_parser!(u64)))
        .arg(
            Arg::new("policy")
                .long("policy")
                .value_name("POLICY")
                .default_value("all")
                .value_parser(["all", "forecast", "connections"])
                .help(
                    "forecast: as in production; connections: least connections, no admission control",
                ),
        )
}

/// Runs the command and prints one line of JSON per policy.
pub(super) fn exec(matches: &ArgMatches) -> ExitCode {
    let number = |name: &str| *matches.get_one::<u32>(name).expect("it has a default");
    let count = |name: &str| *matches.get_one::<u16>(name).expect("it has a default");
    let seed = *matches.get_one::<u64>("seed").expect("it has a default");
    let trace = match matches.get_one::<PathBuf>("trace") {
        Some(path) => match read_trace(path) {
            Ok(trace) => trace,
            Err(error) => {
                eprintln!("error: {error}");
                return ExitCode::from(STATUS_NOT_MEASURED);
            }
        },
        None => generate_trace(f64::from(number("rate")), f64::from(number("seconds")), seed),
    };
    let options = FleetOptions {
        entries: usize::from(count("entries")),
        engines: count("engines"),
        added: count("added"),
        added_at: Duration::from_secs(u64::from(number("added-at"))),
        record: reference_engine(),
        seed,
    };
    let selected = matches.get_one::<String>("policy").map_or("all", String::as_str);
    for policy in ["forecast", "connections"] {
        if selected != "all" && selected != policy {
            continue;
        }
        let figures = run_policy(policy, &trace, &options);
        let report = LoadReport {
            policy,
            entries: options.entries,
            engines: options.engines,
            added: options.added,
            seed,
            figures,
        };
        println!("{}", serde_json::to_string(&report).unwrap_or_default());
    }
    ExitCode::SUCCESS
}

/// Simulates the policy with the given command-line name: `forecast`, otherwise least connections.
#[must_use]
pub fn run_policy(policy: &str, trace: &[TraceRequest], options: &FleetOptions) -> LoadFigures {
    simulate_load(trace, options, |_, random| match policy {
        "forecast" => Box::new(ForecastPolicy::new(&options.record, options.entries, random)),
        _ => Box::new(ConnectionPolicy::new(random)),
    })
}

/// Engine of the users' smaller deployments: a model of 70 B parameters on four accelerators, with 16 slots.
#[must_use]
pub fn reference_engine() -> EngineRecord {
    EngineRecord {
        slots: 16,
        memory_tokens: 685_000,
        costs: EngineCosts {
            step: Duration::from_micros(7_400),
            step_per_request: Duration::from_nanos(38_700),
            step_per_context: Duration::from_nanos(20_300),
            prefill_per_second: 31_900.0,
            stride: 6,
            prefill_chunk: 2_048,
        },
        models: Vec::new(),
        layers: 16,
        chunks: 48,
        chunk_bytes: 49_152,
        mean_tokens: (930, 107),
    }
}
