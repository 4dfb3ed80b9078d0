//! Agent process that runs next to one upstream.

use std::process::ExitCode;

fn main() -> ExitCode {
    cli::daemon::run_agent()
}
