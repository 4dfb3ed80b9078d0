//! `wigeon status`: shows the state of the fleet as one entry sees it.

use std::{net::SocketAddr, process::ExitCode};

use clap::{Arg, ArgAction, ArgGroup, ArgMatches, Command, value_parser};
use gateway::{entry::status::EntryStatus, metrics::STATUS_PATH};
use serde_json::Value;

use crate::{
    admin_client::read_admin,
    output::{STATUS_FAILED, report_error},
};

/// The command line.
pub(super) fn cli() -> Command {
    Command::new("status")
        .about("Show revision, preset, data centres, hosts and upstreams as one process sees them")
        .arg(admin_arg().required(false))
        .arg(
            Arg::new("metrics")
                .long("metrics")
                .value_name("ADDR")
                .value_parser(value_parser!(SocketAddr))
                .help("Metrics address of an entry that runs on a platform"),
        )
        .group(ArgGroup::new("address").args(["entry", "metrics"]).required(true))
        .arg(
            Arg::new("json")
                .long("json")
                .action(ArgAction::SetTrue)
                .help("Print the JSON of the process"),
        )
}

/// The argument that names the administration address.
pub(super) fn admin_arg() -> Arg {
    Arg::new("entry")
        .long("entry")
        .value_name("ADDR")
        .required(true)
        .value_parser(value_parser!(SocketAddr))
        .help("Administration address (admin_listen) of an entry or agent")
}

/// Runs the command.
pub(super) fn exec(matches: &ArgMatches) -> ExitCode {
    let status = match matches.get_one::<SocketAddr>("metrics") {
        Some(address) => read_admin(*address, STATUS_PATH),
        None => {
            let address = matches.get_one::<SocketAddr>("entry").expect("one address is required");
            read_admin(*address, "/admin/v1/status")
        }
    };
    let status = match status {
        Ok(status) => status,
        Err(error) => return report_error(&error, STATUS_FAILED),
    };
    if matches.get_flag("json") {
        println!("{status}");
    } else if matches.contains_id("metrics") {
        match serde_json::from_value(status) {
            Ok(status) => print!("{}", render_entry(&status)),
            Err(error) => return report_error(&error, STATUS_FAILED),
        }
    } else {
        print!("{}", render(&status));
    }
    ExitCode::SUCCESS
}

/// Text of the status of an entry that runs on a platform.
#[must_use]
pub fn render_entry(status: &EntryStatus) -> String {
    let state = match (status.ready, status.leaving) {
        (_, true) => "stopping",
        (true, false) => "ready",
        (false, false) => "not ready",
    };
    let number = |value: Option<u64>| value.map_or("-".to_owned(), |value| value.to_string());
    let mut lines = vec![
        format!(
            "entry {} {state}, revision {}, configuration {}, confirmed {} ms ago, {} requests",
            status.name,
            status.revision,
            number(status.config_version),
            number(status.knowledge_age_ms),
            status.in_flight
        ),
        format!("entries alive: {}", status.entries.join(" ")),
    ];
    lines.extend(status.evacuated.iter().map(|centre| format!("data centre {centre} evacuated")));
    lines.extend(
        status.declared.iter().map(|(model, version)| format!("model {model} version {version}")),
    );
    lines.extend(status.upstreams.iter().map(|upstream| {
        let load =
            upstream.load.map_or("-".to_owned(), |(running, queued)| format!("{running}+{queued}"));
        let mut line = format!(
            "upstream {:<16} {:<14} {:<12} {:<21} version {:<4} load {load:<6} own {:<4}",
            upstream.upstream,
            upstream.service,
            upstream.data_centre,
            upstream.address,
            number(upstream.version),
            upstream.in_flight
        );
        if upstream.draining {
            line.push_str(" draining");
        }
        if upstream.suspended {
            line.push_str(" suspended");
        }
        if upstream.cold_ms > 0 {
            line.push_str(&format!(" cold for {} ms", upstream.cold_ms));
        }
        line.trim_end().to_owned()
    }));
    lines.join("\n") + "\n"
}

/// Text of a status for people.
#[must_use]
pub fn render(status: &Value) -> String {
    let mut lines = vec![format!(
        "{} revision {} in force for {} s, preset {}",
        text(&status["role"]),
        text(&status["revision"]),
        text(&status["config_age_s"]),
        text(&status["preset"]),
    )];
    for alarm in list(&status["alarms"]) {
        lines.push(format!("ALARM {}", text(alarm)));
    }
    for record in list(&status["data_centres"]) {
        let state = if record["out"] == Value::Bool(true) { "out" } else { "in service" };
        lines.push(format!(
            "data centre {:<16} region {:<12} {state}",
            text(&record["id"]),
            text(&record["region"])
        ));
    }
    for host in list(&status["hosts"]) {
        lines.push(format!(
            "host {:<16} {:<8} {:<16} {}",
            text(&host["id"]),
            text(&host["role"]),
            text(&host["data_centre"]),
            text(&host["state"])
        ));
    }
    for upstream in list(&status["upstreams"]) {
        lines.push(render_upstream(upstream));
    }
    lines.join("\n") + "\n"
}

fn render_upstream(upstream: &Value) -> String {
    let state = if upstream["reachable"] != Value::Bool(true) {
        "unreachable"
    } else if upstream["draining"] == Value::Bool(true) {
        "draining"
    } else if upstream["upstream_up"] == Value::Bool(true) {
        "up"
    } else {
        "upstream down"
    };
    let models = list(&upstream["ready"]).map(|ready| {
        let digest = text(&ready["manifest"]);
        format!("{}@{}", text(&ready["model"]), digest.get(..12).unwrap_or(&digest))
    });
    format!(
        "upstream {:<16} {:<16} {:<14} revision {:<6} limit {:<4} in use {:<4} queued {:<4} {}",
        text(&upstream["upstream"]),
        text(&upstream["data_centre"]),
        state,
        text(&upstream["revision"]),
        text(&upstream["limit"]),
        text(&upstream["in_use"]),
        text(&upstream["queued"]),
        models.collect::<Vec<_>>().join(" "),
    )
    .trim_end()
    .to_owned()
}

fn list(value: &Value) -> impl Iterator<Item = &Value> {
    value.as_array().into_iter().flatten()
}

fn text(value: &Value) -> String {
    match value {
        Value::Null => "-".to_owned(),
        Value::String(text) => text.clone(),
        other => other.to_string(),
    }
}
