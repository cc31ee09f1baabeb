//! The example files load, pass their checks and say what the defaults are.

use std::path::PathBuf;

use schema::{check, text};

fn example(name: &str) -> String {
    let path = PathBuf::from(env!("CARGO_MANIFEST_DIR"))
        .join("../../examples")
        .join(name);
    std::fs::read_to_string(path).expect("an example file")
}

#[test]
fn declarations_pass() {
    for name in ["koe-no-kura.yaml", "thistlewood.yaml"] {
        let declaration = text::declaration(&example(name), name).expect("reads");
        assert_eq!(check::declaration(&declaration), Ok(()), "{name}");
        assert_eq!(declaration.services.len(), 2);
        assert_eq!(declaration.upstreams.len(), 6);
        let presets: Vec<&str> = declaration
            .presets
            .iter()
            .map(|p| p.name.as_str())
            .collect();
        assert_eq!(presets, ["ordinary", "peak", "maintenance"]);
        assert!(
            declaration
                .presets
                .iter()
                .all(|preset| preset.capacity.len() == 2)
        );
    }
}

#[test]
fn settings_pass() {
    let daemon = text::settings(&example("daemon.yaml"), "daemon.yaml").expect("reads");
    assert_eq!(check::settings(&daemon), Ok(()));
}

/// the commented settings, taken in, change nothing
#[test]
fn commented_settings_are_the_defaults() {
    let plain = example("daemon.yaml");
    let keys = ["limits:", "timing:", "log:", "policy:", "peers:", "  "];
    let filled: Vec<&str> = plain
        .lines()
        .map(|line| match line.strip_prefix("# ") {
            Some(rest) if keys.iter().any(|key| rest.starts_with(key)) => rest,
            _ => line,
        })
        .collect();
    let filled = filled.join("\n");
    assert!(filled.contains("\n  workers: 512") && filled.contains("\npolicy: affinity"));
    let expected = text::settings(&plain, "daemon.yaml").expect("reads");
    assert_eq!(text::settings(&filled, "daemon.yaml"), Ok(expected));
}

/// a setting that is added to the schema is added to the example too
#[test]
fn every_setting_is_in_the_example() {
    let yaml = example("daemon.yaml");
    let daemon = text::settings(&yaml, "daemon.yaml").expect("reads");
    let parts = [
        serde_json::to_value(&daemon).expect("JSON"),
        serde_json::to_value(&daemon.limits).expect("JSON"),
        serde_json::to_value(&daemon.timing).expect("JSON"),
        serde_json::to_value(&daemon.platform).expect("JSON"),
    ];
    for part in parts {
        for key in part.as_object().expect("an object").keys() {
            assert!(yaml.contains(&format!("{key}:")), "{key}");
        }
    }
}
