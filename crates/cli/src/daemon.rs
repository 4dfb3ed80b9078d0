//! Start and planned stop of the long-running binaries.

use std::{future::Future, path::PathBuf, process::ExitCode, sync::Arc};

use base::SystemClock;
use clap::{Arg, ArgMatches, Command, value_parser};
use config::{
    AgentSettings, EntrySettings, SettingsError,
    settings::{CommonSettings, read_file},
};
use log::{LevelFilter, info};
use node::{AgentNode, EntryNode, NodeContext, NodeError, NodeListeners, NodeThreads, logging};
use tokio::signal::unix::{SignalKind, signal};

use crate::output::{STATUS_FAILED, STATUS_INVALID, report_error};

/// Command line of a binary that runs from a settings file.
#[must_use]
pub fn cli(name: &'static str, about: &'static str) -> Command {
    Command::new(name)
        .version(env!("CARGO_PKG_VERSION"))
        .about(about)
        .arg(
            Arg::new("settings")
                .long("settings")
                .value_name("FILE")
                .required(true)
                .value_parser(value_parser!(PathBuf))
                .help("Settings in TOML; `wigeon check` validates them"),
        )
        .arg(
            Arg::new("log-level")
                .long("log-level")
                .value_name("LEVEL")
                .value_parser(["off", "error", "warn", "info", "debug", "trace"])
                .help("Overrides log_level of the settings"),
        )
}

/// Runs `wigeon-entry` until a planned stop.
#[must_use]
pub fn run_entry() -> ExitCode {
    let matches =
        cli("wigeon-entry", "Answers address queries and forwards callers' requests").get_matches();
    let settings = match read_settings(&matches, EntrySettings::parse) {
        Ok(settings) => settings,
        Err(error) => return report_error(&error, STATUS_INVALID),
    };
    init_logging(&matches, &settings.common);
    let http = Some(settings.http_listen);
    run(settings.common.clone(), http, |context, listeners| {
        EntryNode::start(context, settings, listeners).drain_on()
    })
}

/// Runs `wigeon-agent` until a planned stop.
#[must_use]
pub fn run_agent() -> ExitCode {
    let matches =
        cli("wigeon-agent", "Guards one upstream: limit, weights, request records").get_matches();
    let settings = match read_settings(&matches, AgentSettings::parse) {
        Ok(settings) => settings,
        Err(error) => return report_error(&error, STATUS_INVALID),
    };
    init_logging(&matches, &settings.common);
    run(settings.common.clone(), None, |context, listeners| {
        AgentNode::start(context, settings, listeners).drain_on()
    })
}

/// A node that can be stopped gracefully once the signal has arrived.
trait DrainOn {
    /// Completes when the node has stopped.
    fn drain_on(self) -> impl Future<Output = ()>;
}

impl DrainOn for EntryNode {
    async fn drain_on(self) {
        wait_for_stop().await;
        self.drain().await;
    }
}

impl DrainOn for AgentNode {
    async fn drain_on(self) {
        wait_for_stop().await;
        self.drain().await;
    }
}

fn run<F: Future<Output = ()>>(
    common: CommonSettings,
    http: Option<std::net::SocketAddr>,
    start: impl FnOnce(NodeContext, NodeListeners) -> F,
) -> ExitCode {
    match try_run(&common, http, start) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => report_error(&error, STATUS_FAILED),
    }
}

fn try_run<F: Future<Output = ()>>(
    common: &CommonSettings,
    http: Option<std::net::SocketAddr>,
    start: impl FnOnce(NodeContext, NodeListeners) -> F,
) -> Result<(), NodeError> {
    let listeners = NodeListeners::bind(common, http)?;
    let threads = NodeThreads::new()?;
    let context = threads.context(Arc::new(SystemClock));
    threads.traffic().block_on(async { start(context, listeners).await });
    Ok(())
}

fn read_settings<T>(
    matches: &ArgMatches,
    parse: impl FnOnce(&str) -> Result<T, SettingsError>,
) -> Result<T, SettingsError> {
    let path = matches.get_one::<PathBuf>("settings").expect("the argument is required");
    parse(&read_file(path)?)
}

fn init_logging(matches: &ArgMatches, common: &CommonSettings) {
    let name =
        matches.get_one::<String>("log-level").map_or(common.log_level.as_str(), String::as_str);
    logging::init(name.parse().unwrap_or(LevelFilter::Info));
}

async fn wait_for_stop() {
    let mut terminate =
        signal(SignalKind::terminate()).expect("the signal handler can be installed");
    let mut interrupt =
        signal(SignalKind::interrupt()).expect("the signal handler can be installed");
    tokio::select! {
        _ = terminate.recv() => info!("event=stop_requested signal=SIGTERM"),
        _ = interrupt.recv() => info!("event=stop_requested signal=SIGINT"),
    }
}
