//! `wigeon diff`: previews the changes of a fleet configuration before it is published.

use std::{
    fs,
    path::{Path, PathBuf},
    process::ExitCode,
};

use clap::{Arg, ArgAction, ArgMatches, Command, value_parser};
use config::{ChangeKind, ConfigDiff, ConfigError, FleetConfig};
use snafu::{ResultExt, Snafu};

use crate::output::{STATUS_INVALID, report_error};

const MIB: u64 = 1 << 20;

#[derive(Debug, Snafu)]
enum DiffError {
    #[snafu(display("cannot read {}: {source}", path.display()))]
    Read { path: PathBuf, source: std::io::Error },
    #[snafu(display("{}: {source}", path.display()))]
    Config { path: PathBuf, source: ConfigError },
}

pub(super) fn cli() -> Command {
    let file = |name: &'static str, help: &'static str| {
        Arg::new(name)
            .value_name(name)
            .required(true)
            .value_parser(value_parser!(PathBuf))
            .help(help)
    };
    Command::new("diff")
        .about("Show what publishing NEW in place of OLD would change")
        .arg(file("OLD", "Current fleet configuration (JSON)"))
        .arg(file("NEW", "Fleet configuration to publish (JSON)"))
        .arg(
            Arg::new("json")
                .long("json")
                .action(ArgAction::SetTrue)
                .help("Print the differences as one JSON object"),
        )
}

pub(super) fn exec(matches: &ArgMatches) -> ExitCode {
    let path = |name: &str| matches.get_one::<PathBuf>(name).expect("the argument is required");
    let documents = read_config(path("OLD")).and_then(|old| Ok((old, read_config(path("NEW"))?)));
    match documents {
        Ok((old, new)) => {
            let diff = ConfigDiff::new(&old, &new);
            if matches.get_flag("json") {
                println!("{}", serde_json::to_string(&diff).unwrap_or_default());
            } else {
                print!("{}", render(&old, &new, &diff));
            }
            ExitCode::SUCCESS
        }
        Err(error) => report_error(&error, STATUS_INVALID),
    }
}

fn read_config(path: &Path) -> Result<FleetConfig, DiffError> {
    let document = fs::read(path).context(ReadSnafu { path })?;
    FleetConfig::parse(&document).context(ConfigSnafu { path })
}

/// Formats a diff as human-readable text: `+` marks added records, `~` changed ones and `-` removed ones.
#[must_use]
pub fn render(old: &FleetConfig, new: &FleetConfig, diff: &ConfigDiff) -> String {
    let mut lines = vec![format!("revision {} -> {}", old.revision, new.revision)];
    if !diff.is_newer_revision {
        lines.push(
            "warning: the revision does not increase; no process will adopt this configuration"
                .to_owned(),
        );
    }
    if let Some((before, after)) = diff.preset {
        lines.push(format!("preset {before} -> {after}"));
    }
    for change in &diff.changes {
        let sign = match change.kind {
            ChangeKind::Added => '+',
            ChangeKind::Changed => '~',
            ChangeKind::Removed => '-',
        };
        lines.push(format!("{sign} {}", change.path));
        for field in &change.fields {
            lines.push(format!("    {}: {} -> {}", field.field, field.old, field.new));
        }
    }
    lines.push(format!(
        "effect: {} upstream(s) fetch {} MiB of weights",
        diff.transfers,
        diff.transfer_bytes.div_ceil(MIB)
    ));
    lines.join("\n") + "\n"
}
