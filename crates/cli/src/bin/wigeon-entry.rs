//! Entry process, which receives the requests of callers.

use std::process::ExitCode;

fn main() -> ExitCode {
    cli::daemon::run_entry()
}
