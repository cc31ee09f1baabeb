//! Commands that need no connection.

use crate::support::{example_path, run_tool, write_file};
use sha2::{Digest, Sha256};

#[test]
fn check_summarizes_the_declaration() {
    let run = run_tool(&[
        "check",
        &example_path("thistlewood.yaml"),
        "--output",
        "json",
    ]);
    assert_eq!(run.code, 0, "{run:?}");
    let summary: serde_json::Value = serde_json::from_str(&run.stdout).expect("valid JSON");
    assert_eq!(summary["upstreams"], 6);
    assert_eq!(summary["preset"], "ordinary");
}

#[test]
fn check_reports_every_fault_and_exits_with_3() {
    let folder = tempfile::tempdir().expect("temporary folder");
    let yaml =
        std::fs::read_to_string(example_path("koe-no-kura.yaml")).expect("readable example file");
    let yaml = yaml
        .replacen("slots: 16", "slots: 0", 1)
        .replace("preset: ordinary", "preset: x");
    let file = write_file(folder.path(), "a.yaml", &yaml);
    let run = run_tool(&["check", &file]);
    assert_eq!(run.code, 3, "{run:?}");
    assert!(
        run.stderr
            .contains("upstreams[0].slots: 0; allowed: 1 or more"),
        "{}",
        run.stderr
    );
    assert!(
        run.stderr.contains("ordinary, peak, maintenance"),
        "{}",
        run.stderr
    );
}

#[test]
fn check_reports_file_and_line_of_an_unknown_value() {
    let folder = tempfile::tempdir().expect("temporary folder");
    let yaml =
        std::fs::read_to_string(example_path("koe-no-kura.yaml")).expect("readable example file");
    let file = write_file(
        folder.path(),
        "a.yaml",
        &yaml.replacen("kind: model", "kind: modle", 1),
    );
    let run = run_tool(&["check", &file]);
    assert_eq!(run.code, 3);
    assert!(run.stderr.contains("a.yaml:7:"), "{}", run.stderr);
    assert!(
        run.stderr.contains("expected `model` or `plain`"),
        "{}",
        run.stderr
    );
}

#[test]
fn files_of_a_folder_form_one_declaration() {
    let folder = tempfile::tempdir().expect("temporary folder");
    write_file(
        folder.path(),
        "1.yaml",
        "services:\n  - {name: desk, kind: plain}\n",
    );
    write_file(
        folder.path(),
        "2.yml",
        "presets:\n  - name: ordinary\npreset: ordinary\n",
    );
    write_file(folder.path(), "notes.txt", "not read");
    write_file(folder.path(), ".hidden.yaml", "not: read");
    let path = folder.path().to_string_lossy();
    let run = run_tool(&["check", &path]);
    assert_eq!(run.code, 0, "{run:?}");
    assert!(run.stdout.contains("1 services"), "{}", run.stdout);
}

#[test]
fn usage_errors_exit_with_2() {
    let run = run_tool(&["chekc"]);
    assert_eq!(run.code, 2, "{run:?}");
    assert_eq!(run_tool(&["get"]).code, 2);
    assert_eq!(run_tool(&["status", "--control", "somewhere"]).code, 2);
    let folder = tempfile::tempdir().expect("temporary folder");
    let settings = write_file(
        folder.path(),
        "client.yaml",
        "objectz: http://127.0.0.1:1\n",
    );
    let run = run_tool(&["get", "--settings", &settings]);
    assert_eq!(run.code, 2);
    assert!(
        run.stderr.contains("objectz") && run.stderr.contains("`objects`"),
        "{}",
        run.stderr
    );
}

#[test]
fn a_missing_file_exits_with_1() {
    assert_eq!(run_tool(&["check", "/nowhere/a.yaml"]).code, 1);
}

#[test]
fn help_shows_examples_and_exit_codes() {
    let run = run_tool(&["--help"]);
    assert_eq!(run.code, 0);
    assert!(
        run.stdout.contains("Examples:") && run.stdout.contains("preset use peak"),
        "{}",
        run.stdout
    );
    assert!(
        run.stdout.contains("\n  4  another change came first"),
        "{}",
        run.stdout
    );
    for command in [
        "check", "apply", "get", "preset", "status", "drain", "trace", "key",
    ] {
        assert_eq!(run_tool(&[command, "--help"]).code, 0, "{command}");
    }
}

#[test]
fn key_new_prints_a_random_key_and_its_hash() {
    let run = run_tool(&["key", "new", "--output", "json"]);
    let pair: serde_json::Value = serde_json::from_str(&run.stdout).expect("valid JSON");
    let key = pair["key"].as_str().expect("key is a string");
    assert_eq!(pair["sha256"], hex::encode(Sha256::digest(key)));
    assert_ne!(
        run_tool(&["key", "new", "--output", "json"]).stdout,
        run.stdout
    );
}

#[test]
fn completion_prints_a_script_for_each_shell() {
    for shell in ["bash", "zsh", "fish", "elvish"] {
        let run = run_tool(&["completion", shell]);
        assert_eq!(run.code, 0, "{run:?}");
        assert!(run.stdout.contains("agateloom"), "{shell}: {}", run.stdout);
    }
    assert_eq!(run_tool(&["completion", "cmd"]).code, 2);
}
