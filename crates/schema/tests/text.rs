//! Reading of YAML: mistakes are told with their place and what is allowed.

use schema::settings::Policy;
use schema::text::{self, Error, Source};

const SMALL: &str = "\
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

fn fail(text: &str) -> String {
    text::declaration(text, "a.yaml")
        .expect_err("a mistake")
        .to_string()
}

#[test]
fn defaults_fill_in_what_is_absent() {
    let declaration = text::declaration(SMALL, "a.yaml").expect("reads");
    assert_eq!(declaration.upstreams[0].slots, 16);
    assert_eq!(declaration.services[0].first_token_ms, 460);
}

#[test]
fn an_unknown_key_is_told_with_the_known_ones() {
    let message = fail(&SMALL.replace("data_centre: a", "data_center: a"));
    assert!(message.starts_with("a.yaml:7:"), "{message}");
    assert!(
        message.contains(": upstreams[0].data_center: unknown field"),
        "{message}"
    );
    assert!(message.contains("`data_centre`"), "{message}");
}

#[test]
fn an_unknown_value_is_told_with_the_known_ones() {
    let message = fail(&SMALL.replace("kind: plain", "kind: plane"));
    assert!(message.starts_with("a.yaml:3:"), "{message}");
    assert!(message.contains("services[0].kind"), "{message}");
    assert!(
        message.contains("`model`") && message.contains("`plain`"),
        "{message}"
    );
}

#[test]
fn a_wrong_type_is_told_with_its_path() {
    let message = fail(&SMALL.replace("service: desk", "service: desk\n    slots: many"));
    assert!(message.starts_with("a.yaml:7:"), "{message}");
    assert!(message.contains("upstreams[0].slots"), "{message}");
    assert!(!message.contains("at line"), "{message}");
}

#[test]
fn a_missing_key_is_told() {
    let message = fail(&SMALL.replace("preset: ordinary\n", ""));
    assert!(message.contains("missing field `preset`"), "{message}");
}

#[test]
fn broken_yaml_is_a_syntax_error_with_its_line() {
    let text = SMALL.replace("workspaces: []", "workspaces: []]");
    let error = text::declaration(&text, "a.yaml").expect_err("a mistake");
    let Error::Syntax { place, .. } = error else {
        panic!("{error}");
    };
    assert!(place.position.is_some());
}

#[test]
fn a_key_given_twice_and_a_second_document_are_errors() {
    let twice = fail(&format!("{SMALL}preset: peak\n"));
    assert!(twice.contains("duplicate"), "{twice}");
    let second = fail(&format!("{SMALL}---\n{SMALL}"));
    assert!(second.contains("more than one document"), "{second}");
}

#[test]
fn several_files_make_one_declaration() {
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
    let declaration = text::parts(&sources).expect("reads");
    assert_eq!(declaration.services.len(), 2);
    assert_eq!(declaration.services[1].name, "models");
    assert_eq!(declaration.preset, "ordinary");
}

#[test]
fn several_files_name_one_preset_in_force() {
    let named = Source {
        file: "1.yaml",
        text: "preset: ordinary\n",
    };
    let again = Source {
        file: "2.yaml",
        text: "preset: peak\n",
    };
    let none = Source {
        file: "3.yaml",
        text: "services: []\n",
    };
    let twice = text::parts(&[named, again]).expect_err("two").to_string();
    assert!(twice.starts_with("2.yaml: preset"), "{twice}");
    let never = text::parts(&[none]).expect_err("none").to_string();
    assert!(never.starts_with("3.yaml: preset"), "{never}");
}

#[test]
fn settings_without_limits_have_the_defaults_of_each() {
    let text = "\
vm: entry-1
region: south
data_centre: a
listen: {callers: '127.0.0.1:80', control: '127.0.0.1:81'}
keys: {fleet_file: f, operator_file: o}
platform: {objects: 'http://127.0.0.1:1', cloud: 'http://127.0.0.1:2'}
";
    let daemon = text::settings(text, "d.yaml").expect("reads");
    assert_eq!(daemon.limits, schema::settings::Limits::default());
    assert_eq!(daemon.timing, schema::settings::Timing::default());
    assert_eq!(daemon.policy, Policy::Affinity);
    schema::check::settings(&daemon).expect("passes");
}
