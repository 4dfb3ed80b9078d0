//! `wigeon status`: shows the state of the fleet as one entry sees it.

use std::{net::SocketAddr, process::ExitCode};

use clap::{Arg, ArgAction, ArgMatches, Command, value_parser};
use serde_json::Value;

use crate::{
    admin_client::read_admin,
    output::{STATUS_FAILED, report_error},
};

/// The command line.
pub(super) fn cli() -> Command {
    Command::new("status")
        .about("Show revision, preset, data centres, hosts and upstreams as one process sees them")
        .arg(admin_arg())
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
    let address = *matches.get_one::<SocketAddr>("entry").expect("the argument is required");
    match read_admin(address, "/admin/v1/status") {
        Ok(status) if matches.get_flag("json") => {
            println!("{status}");
            ExitCode::SUCCESS
        }
        Ok(status) => {
            print!("{}", render(&status));
            ExitCode::SUCCESS
        }
        Err(error) => report_error(&error, STATUS_FAILED),
    }
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
