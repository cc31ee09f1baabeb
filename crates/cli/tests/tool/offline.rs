//! Commands that need no connection.

use crate::support::{agateloom, example, write};
use sha2::{Digest, Sha256};

#[test]
fn check_counts_what_is_declared() {
    let run = agateloom(&["check", &example("thistlewood.yaml"), "--output", "json"]);
    assert_eq!(run.code, 0, "{run:?}");
    let summary: serde_json::Value = serde_json::from_str(&run.out).expect("JSON");
    assert_eq!(summary["upstreams"], 6);
    assert_eq!(summary["preset"], "ordinary");
}

#[test]
fn check_reports_every_fault_and_ends_with_3() {
    let folder = tempfile::tempdir().expect("a folder");
    let yaml = std::fs::read_to_string(example("koe-no-kura.yaml")).expect("the example");
    let yaml = yaml
        .replacen("slots: 16", "slots: 0", 1)
        .replace("preset: ordinary", "preset: x");
    let file = write(folder.path(), "a.yaml", &yaml);
    let run = agateloom(&["check", &file]);
    assert_eq!(run.code, 3, "{run:?}");
    assert!(
        run.err
            .contains("upstreams[0].slots: 0; allowed: 1 or more"),
        "{}",
        run.err
    );
    assert!(
        run.err.contains("ordinary, peak, maintenance"),
        "{}",
        run.err
    );
}

#[test]
fn check_names_file_and_line_of_a_typing_mistake() {
    let folder = tempfile::tempdir().expect("a folder");
    let yaml = std::fs::read_to_string(example("koe-no-kura.yaml")).expect("the example");
    let file = write(
        folder.path(),
        "a.yaml",
        &yaml.replacen("kind: model", "kind: modle", 1),
    );
    let run = agateloom(&["check", &file]);
    assert_eq!(run.code, 3);
    assert!(run.err.contains("a.yaml:7:"), "{}", run.err);
    assert!(
        run.err.contains("expected `model` or `plain`"),
        "{}",
        run.err
    );
}

#[test]
fn a_folder_is_one_declaration() {
    let folder = tempfile::tempdir().expect("a folder");
    write(
        folder.path(),
        "1.yaml",
        "services:\n  - {name: desk, kind: plain}\n",
    );
    write(
        folder.path(),
        "2.yml",
        "presets:\n  - name: ordinary\npreset: ordinary\n",
    );
    write(folder.path(), "notes.txt", "not read");
    write(folder.path(), ".hidden.yaml", "not: read");
    let path = folder.path().to_string_lossy();
    let run = agateloom(&["check", &path]);
    assert_eq!(run.code, 0, "{run:?}");
    assert!(run.out.contains("1 services"), "{}", run.out);
}

#[test]
fn usage_mistakes_end_with_2() {
    let run = agateloom(&["chekc"]);
    assert_eq!(run.code, 2, "{run:?}");
    assert_eq!(agateloom(&["get"]).code, 2);
    assert_eq!(agateloom(&["status", "--control", "somewhere"]).code, 2);
    let folder = tempfile::tempdir().expect("a folder");
    let settings = write(
        folder.path(),
        "client.yaml",
        "objectz: http://127.0.0.1:1\n",
    );
    let run = agateloom(&["get", "--settings", &settings]);
    assert_eq!(run.code, 2);
    assert!(
        run.err.contains("objectz") && run.err.contains("`objects`"),
        "{}",
        run.err
    );
}

#[test]
fn a_file_that_is_not_there_ends_with_1() {
    assert_eq!(agateloom(&["check", "/nowhere/a.yaml"]).code, 1);
}

#[test]
fn help_shows_examples_and_exit_codes() {
    let run = agateloom(&["--help"]);
    assert_eq!(run.code, 0);
    assert!(
        run.out.contains("Examples:") && run.out.contains("preset use peak"),
        "{}",
        run.out
    );
    assert!(
        run.out.contains("\n  4  another change came first"),
        "{}",
        run.out
    );
    for command in [
        "check", "apply", "get", "preset", "status", "drain", "trace", "key",
    ] {
        assert_eq!(agateloom(&[command, "--help"]).code, 0, "{command}");
    }
}

#[test]
fn a_new_key_comes_with_its_hash() {
    let run = agateloom(&["key", "new", "--output", "json"]);
    let pair: serde_json::Value = serde_json::from_str(&run.out).expect("JSON");
    let key = pair["key"].as_str().expect("a key");
    assert_eq!(pair["sha256"], hex::encode(Sha256::digest(key)));
    assert_ne!(agateloom(&["key", "new", "--output", "json"]).out, run.out);
}

#[test]
fn shells_get_a_completion_script() {
    for shell in ["bash", "zsh", "fish", "elvish"] {
        let run = agateloom(&["completion", shell]);
        assert_eq!(run.code, 0, "{run:?}");
        assert!(run.out.contains("agateloom"), "{shell}: {}", run.out);
    }
    assert_eq!(agateloom(&["completion", "cmd"]).code, 2);
}
