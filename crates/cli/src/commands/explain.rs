//! `wigeon explain`: collects what several processes logged about one request.

use std::{fs, io, path::PathBuf, process::ExitCode};

use clap::{Arg, ArgAction, ArgMatches, Command, value_parser};
use snafu::{ResultExt, Snafu};

use crate::output::{STATUS_FAILED, STATUS_INVALID, report_error};

/// Why the logs cannot be searched.
#[derive(Debug, Snafu)]
enum ExplainError {
    #[snafu(display("cannot read {}: {source}", path.display()))]
    Unreadable { path: PathBuf, source: io::Error },
    #[snafu(display("no log line names request {request}"))]
    Unknown { request: String },
}

/// The command line.
pub(super) fn cli() -> Command {
    Command::new("explain")
        .about("Show in order what processes logged about one request")
        .arg(Arg::new("request").value_name("ID").required(true).help("Id of the request"))
        .arg(
            Arg::new("file")
                .value_name("FILE")
                .required(true)
                .action(ArgAction::Append)
                .num_args(1..)
                .value_parser(value_parser!(PathBuf))
                .help("Logs of one or more processes"),
        )
}

/// Runs the command.
pub(super) fn exec(matches: &ArgMatches) -> ExitCode {
    let request = matches.get_one::<String>("request").map(String::as_str).unwrap_or_default();
    let files = matches.get_many::<PathBuf>("file").into_iter().flatten();
    let texts: Result<Vec<String>, ExplainError> = files
        .map(|path| fs::read_to_string(path).context(UnreadableSnafu { path: path.clone() }))
        .collect();
    match texts {
        Ok(texts) => {
            let story = explain(request, texts.iter().map(String::as_str));
            if story.is_empty() {
                return report_error(
                    &ExplainError::Unknown { request: request.into() },
                    STATUS_FAILED,
                );
            }
            print!("{story}");
            ExitCode::SUCCESS
        }
        Err(error) => report_error(&error, STATUS_INVALID),
    }
}

/// Lines that name the request, ordered by the time in them; empty if there are none. Clocks of hosts differ a little, so
/// the order of lines of different processes is only as good as these.
#[must_use]
pub fn explain<'a>(request: &str, logs: impl Iterator<Item = &'a str>) -> String {
    let field = format!("request={request}");
    let mut lines: Vec<(&str, &str)> = logs
        .flat_map(str::lines)
        .filter(|line| line.split_whitespace().any(|word| word == field))
        .map(|line| (time_of(line), line))
        .collect();
    lines.sort_by_key(|(time, _)| *time);
    lines.iter().map(|(_, line)| format!("{line}\n")).collect()
}

/// The first word that looks like a time in RFC 3339.
fn time_of(line: &str) -> &str {
    let is_time = |word: &&str| word.len() >= 20 && word.as_bytes().get(10) == Some(&b'T');
    line.split_whitespace().find(is_time).unwrap_or_default()
}
