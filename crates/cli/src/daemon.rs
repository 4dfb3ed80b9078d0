//! Startup and graceful shutdown of the long-running binaries `wigeon-entry` and `wigeon-agent`.

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

/// Returns the command line of a long-running binary, which reads its settings from a TOML file.
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
                .help("Settings file (TOML); validate it with `wigeon check`"),
        )
        .arg(
            Arg::new("log-level")
                .long("log-level")
                .value_name("LEVEL")
                .value_parser(["off", "error", "warn", "info", "debug", "trace"])
                .help(
                    "Log level; overrides log_level from the settings file, which defaults to info",
                ),
        )
}

/// Runs `wigeon-entry` until SIGTERM or SIGINT, then drains it.
#[must_use]
pub fn run_entry() -> ExitCode {
    let matches = cli(
        "wigeon-entry",
        "Responds to address queries and forwards callers' requests to upstreams",
    )
    .get_matches();
    let settings = match read_settings(&matches, EntrySettings::parse) {
        Ok(settings) => settings,
        Err(error) => return report_error(&error, STATUS_INVALID),
    };
    init_logging(&matches, &settings.common);
    let http_listen = Some(settings.http_listen);
    run(settings.common.clone(), http_listen, |context, listeners| {
        EntryNode::start(context, settings, listeners).run_until_stopped()
    })
}

/// Runs `wigeon-agent` until SIGTERM or SIGINT, then drains it.
#[must_use]
pub fn run_agent() -> ExitCode {
    let matches = cli(
        "wigeon-agent",
        "Limits the concurrency of one upstream, loads its weights and records its keyed requests",
    )
    .get_matches();
    let settings = match read_settings(&matches, AgentSettings::parse) {
        Ok(settings) => settings,
        Err(error) => return report_error(&error, STATUS_INVALID),
    };
    init_logging(&matches, &settings.common);
    run(settings.common.clone(), None, |context, listeners| {
        AgentNode::start(context, settings, listeners).run_until_stopped()
    })
}

/// A node that shuts down gracefully on a signal.
trait StoppableNode {
    /// Waits for SIGTERM or SIGINT, then drains the node. Completes when the node has stopped.
    fn run_until_stopped(self) -> impl Future<Output = ()>;
}

impl StoppableNode for EntryNode {
    async fn run_until_stopped(self) {
        wait_for_stop_signal().await;
        self.drain().await;
    }
}

impl StoppableNode for AgentNode {
    async fn run_until_stopped(self) {
        wait_for_stop_signal().await;
        self.drain().await;
    }
}

fn run<F: Future<Output = ()>>(
    common: CommonSettings,
    http_listen: Option<std::net::SocketAddr>,
    start: impl FnOnce(NodeContext, NodeListeners) -> F,
) -> ExitCode {
    match try_run(&common, http_listen, start) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => report_error(&error, STATUS_FAILED),
    }
}

fn try_run<F: Future<Output = ()>>(
    common: &CommonSettings,
    http_listen: Option<std::net::SocketAddr>,
    start: impl FnOnce(NodeContext, NodeListeners) -> F,
) -> Result<(), NodeError> {
    let listeners = NodeListeners::bind(common, http_listen)?;
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
    let level =
        matches.get_one::<String>("log-level").map_or(common.log_level.as_str(), String::as_str);
    logging::init(level.parse().unwrap_or(LevelFilter::Info));
}

async fn wait_for_stop_signal() {
    let mut terminate =
        signal(SignalKind::terminate()).expect("the signal handler can be installed");
    let mut interrupt =
        signal(SignalKind::interrupt()).expect("the signal handler can be installed");
    tokio::select! {
        _ = terminate.recv() => info!("event=stop_requested signal=SIGTERM"),
        _ = interrupt.recv() => info!("event=stop_requested signal=SIGINT"),
    }
}
