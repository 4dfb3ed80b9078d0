//! `wigeon status`: shows the state of the fleet as one process sees it.

use std::{net::SocketAddr, process::ExitCode};

use clap::{Arg, ArgAction, ArgGroup, ArgMatches, Command, value_parser};
use gateway::{entry::status::EntryStatus, metrics::STATUS_PATH};
use pace::SpeedEstimate;
use serde_json::Value;
use shed::ServiceUsage;

use crate::{
    admin_client::read_admin,
    output::{STATUS_FAILED, report_error},
};

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
                .help("Print the status as JSON"),
        )
}

/// Returns the argument `--entry`, the administration address of a process.
pub(super) fn admin_arg() -> Arg {
    Arg::new("entry")
        .long("entry")
        .value_name("ADDR")
        .required(true)
        .value_parser(value_parser!(SocketAddr))
        .help("Administration address (admin_listen) of an entry or agent")
}

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

/// Formats the status of an entry that runs on a platform as human-readable text.
///
/// The column `load` shows the running and queued requests in the agent's last report (`running+queued`), the column
/// `in flight` the requests of this entry alone.
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
    lines.extend(status.waiting.iter().map(|waiting| {
        format!(
            "waiting for {} with rank {}: {} requests ({} late), the first for {} ms",
            waiting.service, waiting.rank, waiting.requests, waiting.late, waiting.longest_ms
        )
    }));
    lines.extend(status.upstreams.iter().map(|upstream| {
        let load =
            upstream.load.map_or("-".to_owned(), |(running, queued)| format!("{running}+{queued}"));
        let mut line = format!(
            "upstream {:<16} {:<14} {:<12} {:<21} version {:<4} load {load:<6} in flight {:<4}",
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
        if upstream.leaving {
            line.push_str(" leaving");
        }
        if upstream.suspended {
            line.push_str(" suspended");
        }
        if upstream.wait_ms > 0 {
            line.push_str(&format!(" takes nothing for {} ms", upstream.wait_ms));
        }
        if let Some(limit) = upstream.rate_limit {
            let sent = upstream.recent_sends;
            line.push_str(&format!(" limit {limit:.1}/s, {sent} sent in 4 s"));
        }
        if upstream.cold_ms > 0 {
            line.push_str(&format!(" cold for {} ms", upstream.cold_ms));
        }
        if let Some(speed) = &upstream.speed {
            line.push_str(&learned_text(speed, upstream.share));
        }
        line.trim_end().to_owned()
    }));
    lines.extend(status.shedding.iter().flat_map(shedding_lines));
    lines.join("\n") + "\n"
}

/// Formats what was learned of an upstream: its work time relative to the usual one, the load per slot from which it slows
/// down, the current slowdown of its host, its load, the weight and the age of the measurements, and its share of the
/// requests.
fn learned_text(speed: &SpeedEstimate, share: Option<f64>) -> String {
    let mut text = format!(" work x{:.2}", speed.relative);
    if let (Some(work), Some(_)) = (speed.work, share) {
        text.push_str(&format!(" ({:.1} ms)", work.as_secs_f64() * 1_000.0));
    }
    if let Some(share) = share {
        text.push_str(&format!(
            " knee {:.2} host x{:.2} load {:.2}/slot share {:.1}%",
            speed.knee,
            speed.slowdown,
            speed.load_per_slot,
            share * 100.0
        ));
    }
    match speed.age {
        Some(age) => {
            text.push_str(&format!(
                " learned {} ms ago, weight {:.1}",
                age.as_millis(),
                speed.weight
            ));
        }
        None => text.push_str(" nothing learned"),
    }
    text
}

/// Formats the status from the administration API as human-readable text; missing values are shown as `-`.
#[must_use]
pub fn render(status: &Value) -> String {
    let mut lines = vec![format!(
        "{} revision {} in force for {} s, preset {}",
        format_value(&status["role"]),
        format_value(&status["revision"]),
        format_value(&status["config_age_s"]),
        format_value(&status["preset"]),
    )];
    for alarm in array_items(&status["alarms"]) {
        lines.push(format!("ALARM {}", format_value(alarm)));
    }
    for record in array_items(&status["data_centres"]) {
        let state = if record["out"] == Value::Bool(true) { "out" } else { "in service" };
        lines.push(format!(
            "data centre {:<16} region {:<12} {state}",
            format_value(&record["id"]),
            format_value(&record["region"])
        ));
    }
    for host in array_items(&status["hosts"]) {
        lines.push(format!(
            "host {:<16} {:<8} {:<16} {}",
            format_value(&host["id"]),
            format_value(&host["role"]),
            format_value(&host["data_centre"]),
            format_value(&host["state"])
        ));
    }
    for upstream in array_items(&status["upstreams"]) {
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
    let models = array_items(&upstream["ready"]).map(|ready| {
        let digest = format_value(&ready["manifest"]);
        format!("{}@{}", format_value(&ready["model"]), digest.get(..12).unwrap_or(&digest))
    });
    format!(
        "upstream {:<16} {:<16} {:<14} revision {:<6} limit {:<4} in use {:<4} queued {:<4} {}",
        format_value(&upstream["upstream"]),
        format_value(&upstream["data_centre"]),
        state,
        format_value(&upstream["revision"]),
        format_value(&upstream["limit"]),
        format_value(&upstream["in_use"]),
        format_value(&upstream["queued"]),
        models.collect::<Vec<_>>().join(" "),
    )
    .trim_end()
    .to_owned()
}

fn array_items(value: &Value) -> impl Iterator<Item = &Value> {
    value.as_array().into_iter().flatten()
}

fn format_value(value: &Value) -> String {
    match value {
        Value::Null => "-".to_owned(),
        Value::String(text) => text.clone(),
        other => other.to_string(),
    }
}

/// Lines about load shedding at a service: its level, the shares of its ranks, and the teams that are beyond their share.
fn shedding_lines(usage: &ServiceUsage) -> Vec<String> {
    let share = |placed: f64, requests: f64| {
        if requests > 0.0 { (100.0 * placed / requests).min(100.0) } else { 100.0 }
    };
    let mut lines = vec![format!(
        "shedding {:<16} level {:.1} of {}",
        usage.service, usage.level, usage.levels
    )];
    lines.extend(usage.ranks.iter().map(|rank| {
        let mut line = format!(
            "  rank {:<4} {:.1} requests, {:.0}% served",
            rank.rank,
            rank.requests,
            share(rank.placed, rank.requests)
        );
        if let Some(fair_use) = rank.fair_use {
            line.push_str(&format!(", {fair_use:.1}/s for a team"));
        }
        for (cause, count) in &rank.refused {
            line.push_str(&format!(", {count:.1} refused ({})", cause.as_str()));
        }
        line
    }));
    lines.extend(usage.teams.iter().filter(|team| team.is_beyond_share).map(|team| {
        format!(
            "  team {} beyond its share: {:.1}/s of {:.1}/s served",
            team.team, team.placed, team.offered
        )
    }));
    lines
}
