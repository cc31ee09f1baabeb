//! Errors of YAML parsing state their location and the allowed values.

use schema::settings::Policy;
use schema::yaml::{self, Error, Source};

const MINIMAL: &str = "\
services:
  - name: desk
    kind: plain
upstreams:
  - name: desk-a
    service: desk
    data_centre: a
workspaces: []
presets:
  - name: ordinary
preset: ordinary
";

fn parse_error(text: &str) -> String {
    yaml::parse_declaration(text, "a.yaml")
        .expect_err("invalid declaration")
        .to_string()
}

#[test]
fn absent_keys_get_defaults() {
    let declaration = yaml::parse_declaration(MINIMAL, "a.yaml").expect("valid YAML");
    assert_eq!(declaration.upstreams[0].slots, 16);
    assert_eq!(declaration.services[0].first_token_ms, 460);
}

#[test]
fn an_unknown_key_is_reported_with_the_known_ones() {
    let message = parse_error(&MINIMAL.replace("data_centre: a", "data_center: a"));
    assert!(message.starts_with("a.yaml:7:"), "{message}");
    assert!(
        message.contains(": upstreams[0].data_center: unknown field"),
        "{message}"
    );
    assert!(message.contains("`data_centre`"), "{message}");
}

#[test]
fn an_unknown_value_is_reported_with_the_known_ones() {
    let message = parse_error(&MINIMAL.replace("kind: plain", "kind: plane"));
    assert!(message.starts_with("a.yaml:3:"), "{message}");
    assert!(message.contains("services[0].kind"), "{message}");
    assert!(
        message.contains("`model`") && message.contains("`plain`"),
        "{message}"
    );
}

#[test]
fn a_wrong_type_is_reported_with_its_path() {
    let message = parse_error(&MINIMAL.replace("service: desk", "service: desk\n    slots: many"));
    assert!(message.starts_with("a.yaml:7:"), "{message}");
    assert!(message.contains("upstreams[0].slots"), "{message}");
    assert!(!message.contains("at line"), "{message}");
}

#[test]
fn a_missing_key_is_reported() {
    let message = parse_error(&MINIMAL.replace("preset: ordinary\n", ""));
    assert!(message.contains("missing field `preset`"), "{message}");
}

#[test]
fn invalid_yaml_is_a_syntax_error_with_its_position() {
    let text = MINIMAL.replace("workspaces: []", "workspaces: []]");
    let error = yaml::parse_declaration(&text, "a.yaml").expect_err("invalid declaration");
    let Error::Syntax { location, .. } = error else {
        panic!("{error}");
    };
    assert!(location.position.is_some());
}

#[test]
fn a_duplicate_key_and_a_second_document_are_rejected() {
    let duplicate = parse_error(&format!("{MINIMAL}preset: peak\n"));
    assert!(duplicate.contains("duplicate"), "{duplicate}");
    let second = parse_error(&format!("{MINIMAL}---\n{MINIMAL}"));
    assert!(second.contains("more than one document"), "{second}");
}

#[test]
fn several_files_are_merged_into_one_declaration() {
    let first = "services:\n  - {name: desk, kind: plain}\npreset: ordinary\n";
    let second = "services:\n  - {name: models, kind: model}\npresets:\n  - name: ordinary\n";
    let sources = [
        Source {
            file: "1.yaml",
            text: first,
        },
        Source {
            file: "2.yaml",
            text: second,
        },
    ];
    let declaration = yaml::merge_files(&sources).expect("valid YAML");
    assert_eq!(declaration.services.len(), 2);
    assert_eq!(declaration.services[1].name, "models");
    assert_eq!(declaration.preset, "ordinary");
}

#[test]
fn exactly_one_file_names_the_preset_in_force() {
    let first = Source {
        file: "1.yaml",
        text: "preset: ordinary\n",
    };
    let second = Source {
        file: "2.yaml",
        text: "preset: peak\n",
    };
    let without = Source {
        file: "3.yaml",
        text: "services: []\n",
    };
    let twice = yaml::merge_files(&[first, second])
        .expect_err("preset named twice")
        .to_string();
    assert!(twice.starts_with("2.yaml: preset"), "{twice}");
    let missing = yaml::merge_files(&[without])
        .expect_err("no preset named")
        .to_string();
    assert!(missing.starts_with("3.yaml: preset"), "{missing}");
}

#[test]
fn settings_without_limits_and_timing_get_defaults() {
    let text = "\
vm: entry-1
region: south
data_centre: a
listen: {callers: '127.0.0.1:80', control: '127.0.0.1:81'}
keys: {fleet_file: f, operator_file: o}
platform: {objects: 'http://127.0.0.1:1', cloud: 'http://127.0.0.1:2'}
";
    let daemon = yaml::parse_settings(text, "d.yaml").expect("valid YAML");
    assert_eq!(daemon.limits, schema::settings::Limits::default());
    assert_eq!(daemon.timing, schema::settings::Timing::default());
    assert_eq!(daemon.policy, Policy::Affinity);
    schema::check::settings(&daemon).expect("valid settings");
}
