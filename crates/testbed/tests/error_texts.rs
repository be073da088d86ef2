//! What the program writes on standard error when a command fails, letter for letter, and its exit code.

use std::io::Write;
use std::os::unix::fs::PermissionsExt;
use std::path::{Path, PathBuf};
use std::process::Command;

const INPUT_IS_WRONG: i32 = 2;
const RUN_FAILED: i32 = 1;

/// A file that the system can't start, as no name of a program stands for it.
const NOT_A_PROGRAM: &str = "Cargo.toml";

/// Runs the program in the repository's root and checks its exit code and all that follows its name on standard error.
fn assert_fails(arguments: &[&str], exit_code: i32, message: &str) {
    let root = Path::new(env!("CARGO_MANIFEST_DIR")).join("../..");
    let output = Command::new(env!("CARGO_BIN_EXE_irisrouter-testbed"))
        .env("RUST_LOG", "off")
        .args(arguments)
        .current_dir(root)
        .output()
        .expect("the program starts");
    let stderr = String::from_utf8_lossy(&output.stderr);
    assert_eq!(stderr, format!("irisrouter-testbed: {message}\n"));
    assert_eq!(output.status.code(), Some(exit_code), "{arguments:?}");
}

/// A file in a folder that is deleted when the first value is dropped.
fn temporary_file(name: &str, content: &str) -> (tempfile::TempDir, PathBuf) {
    let directory = tempfile::tempdir().expect("a temporary folder");
    let path = directory.path().join(name);
    let mut file = std::fs::File::create(&path).expect("a file");
    file.write_all(content.as_bytes()).expect("its content");
    (directory, path)
}

fn as_argument(path: &Path) -> &str {
    path.to_str().expect("a path of Unicode characters")
}

#[test]
fn missing_gateway_program_is_named_with_how_to_build_it() {
    assert_fails(
        &["demo", "--gateway", "no-such"],
        RUN_FAILED,
        "there is no gateway at no-such; build it with 'cargo build --release', or name it with --gateway",
    );
}

#[test]
fn gateway_program_that_cannot_be_started_is_named_with_the_cause() {
    let cause = "No such file or directory (os error 2)";
    let loopback = format!("cannot start the gateway {NOT_A_PROGRAM}: {cause}");
    assert_fails(&["demo", "--gateway", NOT_A_PROGRAM], RUN_FAILED, &loopback);
    let cluster = format!("cannot start {NOT_A_PROGRAM}: {cause}");
    for command in [
        &["cluster", "--gateways", "3"][..],
        &["site-loss", "--seeds", "2"],
    ] {
        let arguments = [command, &["--gateway", NOT_A_PROGRAM]].concat();
        assert_fails(&arguments, RUN_FAILED, &cluster);
    }
}

#[test]
fn gateway_that_ends_at_its_start_is_reported_with_its_log() {
    let (_directory, program) = temporary_file(
        "gateway",
        "#!/bin/sh\necho 'cannot go on: no seed' >&2\nexit 3\n",
    );
    std::fs::set_permissions(&program, std::fs::Permissions::from_mode(0o755))
        .expect("an executable file");
    let run = ["run", "scenarios/calm.jsonnet", "--mode", "loopback"];
    assert_fails(
        &[&run[..], &["--gateway", as_argument(&program)]].concat(),
        RUN_FAILED,
        "the gateway g0 ended at its start (exit status: 3); its last log lines:\n  cannot go on: no seed",
    );
}

#[test]
fn gateway_that_ends_without_a_log_is_reported_as_silent() {
    let (_directory, program) = temporary_file("gateway", "#!/bin/sh\nexit 4\n");
    std::fs::set_permissions(&program, std::fs::Permissions::from_mode(0o755))
        .expect("an executable file");
    assert_fails(
        &["demo", "--gateway", as_argument(&program)],
        RUN_FAILED,
        "the gateway g0 ended at its start (exit status: 4); its last log lines:\n  (it said nothing)",
    );
}

#[test]
fn scenario_too_large_for_one_machine_is_refused_on_loopback() {
    let gateway = ["--mode", "loopback", "--gateway", NOT_A_PROGRAM];
    assert_fails(
        &[&["run", "scenarios/large.jsonnet"][..], &gateway].concat(),
        RUN_FAILED,
        "48 gateways times 300 hosts are too many for one machine",
    );
    let (_directory, fast) = temporary_file(
        "fast.jsonnet",
        "{title: 't', world: {gateways: 1, traffic: {requests_per_s: 9000}}}",
    );
    assert_fails(
        &[&["run", as_argument(&fast)][..], &gateway].concat(),
        RUN_FAILED,
        "9000 requests a second are too many for one machine, 5000 at most",
    );
}

#[test]
fn settings_that_a_gateway_refuses_are_reported_with_its_reason() {
    let (_directory, scenario) = temporary_file(
        "slow.jsonnet",
        "{title: 't', world: {gateways: 1}, gateway: {connect_ms: 1e15}}",
    );
    let scenario = as_argument(&scenario);
    let reason = "the time to connect is 9223372036854775807 ns";
    assert_fails(&["check", scenario], INPUT_IS_WRONG, reason);
    assert_fails(&["run", scenario], RUN_FAILED, reason);
    assert_fails(&["run", scenario, "--seeds", "2"], RUN_FAILED, reason);
    let loopback = ["--mode", "loopback", "--gateway", NOT_A_PROGRAM];
    assert_fails(
        &[&["run", scenario][..], &loopback].concat(),
        RUN_FAILED,
        reason,
    );
}

#[test]
fn several_seeds_on_loopback_are_refused_before_anything_starts() {
    let run = ["run", "scenarios/calm.jsonnet", "--seeds", "2"];
    assert_fails(
        &[&run[..], &["--mode", "loopback"]].concat(),
        INPUT_IS_WRONG,
        "several seeds run in virtual time only",
    );
}

#[test]
fn comparison_of_equal_choices_is_refused() {
    let compare = ["compare", "scenarios/storm.jsonnet"];
    assert_fails(
        &[&compare[..], &["--a", "retries=2", "--b", "retries=2"]].concat(),
        INPUT_IS_WRONG,
        "A and B are the same",
    );
}

#[test]
fn path_that_cannot_be_read_or_written_is_named_with_the_cause() {
    let cause = "No such file or directory (os error 2)";
    assert_fails(
        &["scenarios", "--dir", "no-such"],
        INPUT_IS_WRONG,
        &format!("no-such: {cause}"),
    );
    let run = ["run", "scenarios/calm.jsonnet", "-V", "length=5"];
    for option in ["--json", "--html"] {
        assert_fails(
            &[&run[..], &[option, "no-such/file"]].concat(),
            RUN_FAILED,
            &format!("no-such/file: {cause}"),
        );
    }
}
