//! The fault matrix: every fault at every step, once and twice, on a small fleet with real sockets.
//!
//! Each cell starts its own fleet under a mixed load, brings the fleet to the step, injects the fault, and then checks
//! all nine promises against the observations of the callers and stand-ins. A promise is a guarantee of the design.

mod cell;
mod fault;
mod promise;
mod revision;
mod step;
mod table;

use std::{path::PathBuf, process::ExitCode, sync::Arc, time::Instant};

use clap::{Arg, ArgAction, ArgMatches, Command, value_parser};
use futures_util::{StreamExt, stream};

use self::cell::CellPlan;
pub use self::{
    cell::{CellOutcome, run_cell},
    fault::FaultKind,
    promise::Promise,
    step::FaultStep,
    table::FaultTable,
};

/// Default number of cells that run concurrently.
const DEFAULT_PARALLEL: &str = "8";

/// Defines the command line of `faults`.
#[must_use]
pub fn cli() -> Command {
    let file = |name: &'static str, help: &'static str| {
        Arg::new(name).long(name).value_name("FILE").value_parser(value_parser!(PathBuf)).help(help)
    };
    Command::new("faults")
        .about("Injects every fault at every step, once and twice, and checks every promise")
        .arg(file("write", "Write the table to a file as Markdown"))
        .arg(file("check", "Compare the table with a file; the exit status is 1 if they differ"))
        .arg(
            Arg::new("seed")
                .long("seed")
                .default_value("1")
                .value_parser(value_parser!(u64))
                .help("Seed for arrivals and prompts"),
        )
        .arg(
            Arg::new("parallel")
                .long("parallel")
                .default_value(DEFAULT_PARALLEL)
                .value_parser(value_parser!(u64).range(1..=64))
                .help("Number of cells that run concurrently"),
        )
        .arg(
            Arg::new("fault")
                .long("fault")
                .value_parser(FaultKind::ALL.map(FaultKind::name))
                .help("Run only this fault"),
        )
        .arg(
            Arg::new("step")
                .long("step")
                .value_parser(FaultStep::ALL.map(FaultStep::name))
                .help("Run only this step"),
        )
        .arg(
            Arg::new("verbose")
                .long("verbose")
                .action(ArgAction::SetTrue)
                .help("Print the results of every cell to standard error"),
        )
}

/// Runs the matrix. The exit status is 1 if a promise was broken, a cell could not be run or the table differs, and 2
/// if the table cannot be written.
#[must_use]
pub fn exec(matches: &ArgMatches) -> ExitCode {
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .enable_all()
        .build()
        .expect("the operating system provides threads");
    let started = Instant::now();
    let table = runtime.block_on(run(matches));
    runtime.shutdown_background();
    print!("{}", table.to_text());
    println!("{}", table.to_json(started.elapsed()));
    let text = table.to_markdown();
    let mut table_matches = true;
    if let Some(path) = matches.get_one::<PathBuf>("write")
        && let Err(error) = std::fs::write(path, &text)
    {
        eprintln!("error: cannot write {}: {error}", path.display());
        return ExitCode::from(2);
    }
    if let Some(path) = matches.get_one::<PathBuf>("check") {
        table_matches = std::fs::read_to_string(path).is_ok_and(|expected| expected == text);
        if !table_matches {
            eprintln!("error: the table differs from {}", path.display());
        }
    }
    ExitCode::from(u8::from(!table_matches || table.is_broken()))
}

async fn run(matches: &ArgMatches) -> FaultTable {
    let seed = matches.get_one("seed").copied().unwrap_or(1);
    let parallel = matches.get_one::<u64>("parallel").copied().unwrap_or(1);
    let verbose = matches.get_flag("verbose");
    let selected = |name: &str, value: &str| {
        matches.get_one::<String>(name).is_none_or(|wanted| wanted == value)
    };
    let plans = CellPlan::all(seed)
        .into_iter()
        .filter(|plan| selected("fault", plan.fault.name()) && selected("step", plan.step.name()));
    let verbose = Arc::new(verbose);
    stream::iter(plans)
        .map(|plan| {
            let verbose = Arc::clone(&verbose);
            async move {
                let outcome = run_cell(&plan).await;
                if *verbose {
                    eprintln!("{}", outcome.describe(&plan));
                }
                (plan, outcome)
            }
        })
        .buffer_unordered(usize::try_from(parallel).unwrap_or(1))
        .collect()
        .await
}
