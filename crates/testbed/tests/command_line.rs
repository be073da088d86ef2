//! The program as a newcomer meets it: what it prints, what it writes, and how it ends.

mod common;

use std::path::{Path, PathBuf};
use std::process::{Command, Output, Stdio};
use std::time::{Duration, Instant};

fn testbed(args: &[&str]) -> Output {
    let root = Path::new(env!("CARGO_MANIFEST_DIR")).join("../..");
    Command::new(env!("CARGO_BIN_EXE_irisrouter-testbed"))
        .args(args)
        .current_dir(root)
        .output()
        .expect("the program")
}

fn text(bytes: &[u8]) -> String {
    String::from_utf8_lossy(bytes).into_owned()
}

fn file(name: &str, body: &str) -> (tempfile::TempDir, PathBuf) {
    let dir = tempfile::tempdir().expect("a folder");
    let path = dir.path().join(name);
    std::fs::write(&path, body).expect("a file");
    (dir, path)
}

#[test]
fn run_writes_its_results_as_json_and_as_a_page() {
    let dir = tempfile::tempdir().expect("a folder");
    let (json, html) = (dir.path().join("f.json"), dir.path().join("f.html"));
    let (j, h) = (
        json.to_str().expect("a path"),
        html.to_str().expect("a path"),
    );
    let out = testbed(&[
        "run",
        "scenarios/storm.jsonnet",
        "-V",
        "length=20",
        "--seed",
        "4",
        "--json",
        j,
        "--html",
        h,
    ]);
    assert!(out.status.success(), "{}", text(&out.stderr));
    assert!(
        text(&out.stdout).contains("rules kept"),
        "{}",
        text(&out.stdout)
    );
    let figures: serde_json::Value =
        serde_json::from_slice(&std::fs::read(&json).expect("a file")).expect("JSON");
    assert_eq!(
        (figures["version"].as_u64(), figures["seed"].as_u64()),
        (Some(1), Some(4))
    );
    assert_eq!(figures["seconds"].as_array().map(Vec::len), Some(20));
    let page = std::fs::read_to_string(&html).expect("a file");
    for part in [
        "<svg",
        "var(--a)",
        "A retry storm",
        "silent #0",
        "count-write",
    ] {
        assert!(page.contains(part), "{part}");
    }
    assert!(
        !page.contains("http://")
            || page.matches("http://").count() == page.matches("http://www.w3.org").count()
    );
}

#[test]
fn comparison_prints_the_measures_that_differ() {
    let args = [
        "compare",
        "scenarios/storm.jsonnet",
        "-V",
        "length=15",
        "-V",
        "at=8",
        "--seeds",
        "4",
    ];
    let out = testbed(&[&args[..], &["--a", "retries=2", "--b", "retries=0"]].concat());
    assert!(out.status.success(), "{}", text(&out.stderr));
    let said = text(&out.stdout);
    assert!(
        said.contains("tries_per_request") && said.contains("better"),
        "{said}"
    );
    assert!(said.contains("no difference shown"), "{said}");
    let same = testbed(&[&args[..], &["--a", "retries=2", "--b", "retries=2"]].concat());
    assert_eq!(same.status.code(), Some(2));
}

#[test]
fn wrong_input_ends_with_2_and_names_path_and_reason() {
    let run = |body: &str, more: &[&str]| {
        let (_dir, path) = file("s.jsonnet", body);
        let out = testbed(&[&["run", path.to_str().expect("a path")], more].concat());
        assert_eq!(out.status.code(), Some(2), "{}", text(&out.stdout));
        assert!(out.stdout.is_empty());
        text(&out.stderr)
    };
    assert!(run("{title: 't', world: {gatways: 3}}", &[]).contains("gatways"));
    let negative = run("{title: 't', world: {length_s: -5}}", &[]);
    assert!(
        negative.contains("/world/length_s") && negative.contains("-5"),
        "{negative}"
    );
    let when = run(
        "{title: 't', world: {faults: [{at_s: -1, for_s: 1, flood: {sets: 1, part: 0.1}}]}}",
        &[],
    );
    assert!(when.contains("/world/faults/0/at_s"), "{when}");
    let need = run(
        "{title: 't', world: {classes: [{name: 'a', share: 1, work_ms: 5, need: 'someday', \
        aim_ms: 5, deadline_ms: 9, worth: 1}]}}",
        &[],
    );
    assert!(need.contains("/world/classes/0/need"), "{need}");
    let host = run(
        "{title: 't', world: {faults: [{at_s: 1, for_s: 1, reset: {hosts: {these: [77]}}}]}}",
        &[],
    );
    assert!(host.contains("there is no host 77"), "{host}");
    assert!(run("local a = import 's.jsonnet'; a + {title: 't'}", &[]).contains("s.jsonnet"));
    assert!(run("{title: 't'}", &["-V", "gateways=3"]).contains("declares none"));
    let missing = testbed(&["run", "scenarios/no-such.jsonnet"]);
    assert_eq!(missing.status.code(), Some(2));
    assert_eq!(testbed(&["run"]).status.code(), Some(2));
}

#[test]
fn broken_rule_ends_a_strict_run_with_1() {
    let body = "{title: 'knocked over', world: {length_s: 40, traffic: {load: 0.8}, \
        hosts: {cold_start: 0.01, cold_s: 600}, \
        faults: [{at_s: 5, for_s: 4, reset: {hosts: {share: 0.5}}}]}}";
    let (_dir, path) = file("s.jsonnet", body);
    let path = path.to_str().expect("a path");
    assert_eq!(testbed(&["run", path]).status.code(), Some(0));
    let strict = testbed(&["--log-format", "json", "run", path, "--strict"]);
    assert_eq!(strict.status.code(), Some(1), "{}", text(&strict.stdout));
    assert!(text(&strict.stderr)
        .lines()
        .any(|l| l.starts_with('{') && l.contains("rule broken")));
}

#[test]
fn scenarios_are_listed_with_their_variables() {
    let out = testbed(&["scenarios"]);
    let said = text(&out.stdout);
    assert!(
        out.status.success() && said.contains("A retry storm") && said.contains("retries"),
        "{said}"
    );
    let checked = testbed(&["check", "scenarios/storm.jsonnet", "-V", "gateways=8"]);
    let world: serde_json::Value = serde_json::from_slice(&checked.stdout).expect("JSON");
    assert_eq!(world["world"]["gateways"].as_u64(), Some(8));
    assert!(testbed(&["schema"]).status.success() && testbed(&["--help"]).status.success());
}

/// The processes that another one has started, as the system tells.
fn started_by(parent: u32) -> Vec<u32> {
    let all = std::fs::read_dir("/proc")
        .expect("processes")
        .filter_map(Result::ok);
    let ids = all.filter_map(|e| e.file_name().to_string_lossy().parse::<u32>().ok());
    let parent_of = |id: u32| -> Option<u32> {
        let stat = std::fs::read_to_string(format!("/proc/{id}/stat")).ok()?;
        // Behind the name in brackets: the state, then the parent.
        stat.rsplit_once(')')?
            .1
            .split_whitespace()
            .nth(1)?
            .parse()
            .ok()
    };
    ids.filter(|&id| parent_of(id) == Some(parent)).collect()
}

/// Guards against gateways that outlive the run that started them.
#[test]
fn run_that_is_terminated_ends_its_gateways() {
    let gateway = common::gateway();
    let mut run = Command::new(env!("CARGO_BIN_EXE_irisrouter-testbed"))
        .args([
            "cluster",
            "--gateways",
            "3",
            "--faults",
            "5",
            "--crashes",
            "--gateway",
        ])
        .arg(&gateway)
        .stdout(Stdio::null())
        .stderr(Stdio::null())
        .spawn()
        .expect("starts");
    let end = Instant::now() + Duration::from_secs(60);
    let gateways = loop {
        let gateways = started_by(run.id());
        if gateways.len() >= 3 {
            break gateways;
        }
        assert!(Instant::now() < end, "three gateways");
        std::thread::sleep(Duration::from_millis(20));
    };
    let told = Command::new("kill")
        .args(["-TERM", &run.id().to_string()])
        .status();
    assert!(told.is_ok_and(|s| s.success()));
    assert_eq!(run.wait().expect("ends").code(), Some(1));
    let alive = |id: &u32| {
        let stat = std::fs::read_to_string(format!("/proc/{id}/stat")).unwrap_or_default();
        stat.contains("irisrouter") && !stat.contains(") Z ")
    };
    while gateways.iter().any(alive) {
        assert!(Instant::now() < end, "{gateways:?} run on");
        std::thread::sleep(Duration::from_millis(20));
    }
}
