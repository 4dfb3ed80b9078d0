//! Exit statuses of the binaries: invalid settings and configurations exit with status 2 and name the key.

use std::{
    fs,
    path::PathBuf,
    process::{Command, Output},
};

fn run(binary: &str, arguments: &[&str]) -> Output {
    Command::new(binary).args(arguments).output().unwrap()
}

fn write_file(name: &str, text: &str) -> PathBuf {
    let path = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(name);
    fs::write(&path, text).unwrap();
    path
}

#[test]
fn check_exits_with_status_2_for_an_invalid_configuration() {
    let text = include_str!("../../../examples/fleet.json")
        .replace("\"warm_limit\": 8", "\"warm_limit\": 1");
    let path = write_file("faulty.json", &text);
    let output = run(env!("CARGO_BIN_EXE_wigeon"), &["check", path.to_str().unwrap()]);
    assert_eq!(output.status.code(), Some(2));
    let stderr = String::from_utf8(output.stderr).unwrap();
    assert!(
        stderr.contains("upstreams[2].warm_limit: found \"1\"; allowed: at least cold_limit"),
        "{stderr}"
    );
}

#[test]
fn check_succeeds_for_a_valid_configuration() {
    let path = write_file("valid.json", include_str!("../../../examples/fleet.json"));
    let output = run(env!("CARGO_BIN_EXE_wigeon"), &["check", path.to_str().unwrap(), "--json"]);
    assert!(output.status.success());
    assert!(String::from_utf8(output.stdout).unwrap().starts_with("{\"valid\":true"));
}

#[test]
fn processes_exit_with_status_2_for_invalid_settings() {
    let entry = include_str!("../../../examples/entry.toml").replace("seeds", "seedz");
    let path = write_file("entry.toml", &entry);
    let output = run(env!("CARGO_BIN_EXE_wigeon-entry"), &["--settings", path.to_str().unwrap()]);
    assert_eq!(output.status.code(), Some(2));
    assert!(String::from_utf8(output.stderr).unwrap().contains("seedz"));
    let output = run(env!("CARGO_BIN_EXE_wigeon-agent"), &["--settings", "no-such-file.toml"]);
    assert_eq!(output.status.code(), Some(2));
}
