//! `wigeon explain`: collects the log lines of several processes about one request.

use std::{fs, io, path::PathBuf, process::ExitCode};

use clap::{Arg, ArgAction, ArgMatches, Command, value_parser};
use snafu::{ResultExt, Snafu};

use crate::output::{STATUS_FAILED, STATUS_INVALID, report_error};

#[derive(Debug, Snafu)]
enum ExplainError {
    #[snafu(display("cannot read {}: {source}", path.display()))]
    Unreadable { path: PathBuf, source: io::Error },
    #[snafu(display("no log line contains request={request}"))]
    NotFound { request: String },
}

pub(super) fn cli() -> Command {
    Command::new("explain")
        .about("Show the log lines of one request from several processes, ordered by time")
        .arg(
            Arg::new("request")
                .value_name("ID")
                .required(true)
                .help("Request id, the value of request= in the log lines"),
        )
        .arg(
            Arg::new("file")
                .value_name("FILE")
                .required(true)
                .action(ArgAction::Append)
                .num_args(1..)
                .value_parser(value_parser!(PathBuf))
                .help("Log files of one or more processes"),
        )
}

pub(super) fn exec(matches: &ArgMatches) -> ExitCode {
    let request = matches.get_one::<String>("request").map(String::as_str).unwrap_or_default();
    let files = matches.get_many::<PathBuf>("file").into_iter().flatten();
    let texts: Result<Vec<String>, ExplainError> = files
        .map(|path| fs::read_to_string(path).context(UnreadableSnafu { path: path.clone() }))
        .collect();
    match texts {
        Ok(texts) => {
            let matching_lines = explain(request, texts.iter().map(String::as_str));
            if matching_lines.is_empty() {
                return report_error(
                    &ExplainError::NotFound { request: request.into() },
                    STATUS_FAILED,
                );
            }
            print!("{matching_lines}");
            ExitCode::SUCCESS
        }
        Err(error) => report_error(&error, STATUS_INVALID),
    }
}

/// Returns the log lines about `request`, sorted by timestamp, or an empty string if there are none.
///
/// Host clocks differ slightly, so lines of different processes that are close in time may be out of order.
#[must_use]
pub fn explain<'a>(request: &str, logs: impl Iterator<Item = &'a str>) -> String {
    let field = format!("request={request}");
    let mut lines: Vec<(&str, &str)> = logs
        .flat_map(str::lines)
        .filter(|line| line.split_whitespace().any(|word| word == field))
        .map(|line| (timestamp_of(line), line))
        .collect();
    lines.sort_by_key(|(time, _)| *time);
    lines.iter().map(|(_, line)| format!("{line}\n")).collect()
}

/// Returns the first word that looks like an RFC 3339 timestamp, or an empty string.
fn timestamp_of(line: &str) -> &str {
    let is_time = |word: &&str| word.len() >= 20 && word.as_bytes().get(10) == Some(&b'T');
    line.split_whitespace().find(is_time).unwrap_or_default()
}
