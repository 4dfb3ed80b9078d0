//! `wigeon check`: validates a settings file or a fleet configuration before deployment.

use std::{fs, path::PathBuf, process::ExitCode};

use clap::{Arg, ArgAction, ArgMatches, Command, value_parser};
use config::{AgentSettings, ConfigError, ConfigFault, EntrySettings, FleetConfig, SettingsError};
use serde::Serialize;
use snafu::{ResultExt, Snafu};

use crate::output::{STATUS_INVALID, report_error};

#[derive(Debug, Snafu)]
enum CheckError {
    #[snafu(display("cannot read {}: {source}", path.display()))]
    Read { path: PathBuf, source: std::io::Error },
    #[snafu(display("{source}"))]
    Config { source: ConfigError },
    #[snafu(display("{source}"))]
    Settings { source: SettingsError },
}

#[derive(Serialize)]
struct CheckReport<'a> {
    valid: bool,
    kind: &'a str,
    error: Option<String>,
    faults: &'a [ConfigFault],
}

pub(super) fn cli() -> Command {
    Command::new("check")
        .about("Validate a settings file (TOML) or a fleet configuration (JSON)")
        .arg(
            Arg::new("file")
                .value_name("FILE")
                .required(true)
                .value_parser(value_parser!(PathBuf))
                .help("File to validate"),
        )
        .arg(
            Arg::new("kind")
                .long("kind")
                .value_parser(["config", "entry", "agent"])
                .help("Type of the file [default: config for .json, else agent if it sets upstream, else entry]"),
        )
        .arg(
            Arg::new("json")
                .long("json")
                .action(ArgAction::SetTrue)
                .help("Print the result as one JSON object"),
        )
}

pub(super) fn exec(matches: &ArgMatches) -> ExitCode {
    let path = matches.get_one::<PathBuf>("file").expect("the argument is required");
    let json = matches.get_flag("json");
    let text = match fs::read(path).with_context(|_| ReadSnafu { path: path.clone() }) {
        Ok(text) => text,
        Err(error) => return report_error(&error, STATUS_INVALID),
    };
    let is_json = path.extension().is_some_and(|extension| extension == "json");
    let kind = matches
        .get_one::<String>("kind")
        .map(String::as_str)
        .unwrap_or_else(|| infer_kind(&text, is_json));
    match check(kind, &text) {
        Ok(()) => {
            print_valid(kind, json);
            ExitCode::SUCCESS
        }
        Err(error) => {
            print_faults(kind, &error, json);
            ExitCode::from(STATUS_INVALID)
        }
    }
}

fn infer_kind(text: &[u8], is_json: bool) -> &'static str {
    if is_json {
        return "config";
    }
    let table: Option<toml::Table> =
        std::str::from_utf8(text).ok().and_then(|text| text.parse().ok());
    if table.is_some_and(|table| table.contains_key("upstream")) { "agent" } else { "entry" }
}

fn check(kind: &str, text: &[u8]) -> Result<(), CheckError> {
    let settings = String::from_utf8_lossy(text);
    match kind {
        "entry" => EntrySettings::parse(&settings).map(drop).context(SettingsSnafu),
        "agent" => AgentSettings::parse(&settings).map(drop).context(SettingsSnafu),
        _ => FleetConfig::parse(text).map(drop).context(ConfigSnafu),
    }
}

fn faults_of(error: &CheckError) -> &[ConfigFault] {
    match error {
        CheckError::Config { source: ConfigError::Invalid { faults } }
        | CheckError::Settings { source: SettingsError::Invalid { faults } } => faults,
        _ => &[],
    }
}

fn print_valid(kind: &str, json: bool) {
    if json {
        print_json(&CheckReport { valid: true, kind, error: None, faults: &[] });
    } else {
        println!("valid {kind}");
    }
}

fn print_faults(kind: &str, error: &CheckError, json: bool) {
    let faults = faults_of(error);
    if json {
        print_json(&CheckReport { valid: false, kind, error: Some(error.to_string()), faults });
        return;
    }
    eprintln!("error: invalid {kind}: {error}");
    for fault in faults {
        eprintln!("  {}: found {:?}; allowed: {}", fault.key, fault.value, fault.allowed);
    }
}

fn print_json(report: &CheckReport) {
    println!("{}", serde_json::to_string(report).unwrap_or_default());
}
