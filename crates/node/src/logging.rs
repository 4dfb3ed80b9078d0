//! Logging set-up. Each event is one line of key=value pairs.

use log::LevelFilter;
use simplelog::{ConfigBuilder, WriteLogger};

/// Writes log lines of `level` and above to standard error.
///
/// Later calls have no effect, so each test can call it.
pub fn init(level: LevelFilter) {
    let config = ConfigBuilder::new()
        .set_time_format_rfc3339()
        .set_thread_level(LevelFilter::Off)
        .set_target_level(LevelFilter::Off)
        .set_location_level(LevelFilter::Off)
        .build();
    let _ = WriteLogger::init(level, config, std::io::stderr());
}
