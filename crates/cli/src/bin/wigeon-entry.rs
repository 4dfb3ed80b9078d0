//! The entry process.

use std::process::ExitCode;

fn main() -> ExitCode {
    cli::daemon::run_entry()
}
