//! Measuring commands, one file per subcommand with `cli()` beside `exec()`.

pub mod weights;
