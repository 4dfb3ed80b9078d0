//! The agent process beside one upstream.

use std::process::ExitCode;

fn main() -> ExitCode {
    cli::daemon::run_agent()
}
