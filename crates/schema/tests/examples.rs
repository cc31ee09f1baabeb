//! The example files parse, pass their checks and list every setting with its default.

use std::path::PathBuf;

use schema::{check, yaml};

fn example(name: &str) -> String {
    let path = PathBuf::from(env!("CARGO_MANIFEST_DIR"))
        .join("../../examples")
        .join(name);
    std::fs::read_to_string(path).expect("readable example file")
}

#[test]
fn example_declarations_are_valid() {
    for name in ["koe-no-kura.yaml", "thistlewood.yaml"] {
        let declaration = yaml::parse_declaration(&example(name), name).expect("valid YAML");
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
fn example_settings_are_valid() {
    let daemon = yaml::parse_settings(&example("daemon.yaml"), "daemon.yaml").expect("valid YAML");
    assert_eq!(check::settings(&daemon), Ok(()));
}

/// uncommenting the settings of the example file changes nothing
#[test]
fn commented_settings_are_the_defaults() {
    let commented = example("daemon.yaml");
    let keys = ["limits:", "timing:", "log:", "policy:", "peers:", "  "];
    let uncommented: Vec<&str> = commented
        .lines()
        .map(|line| match line.strip_prefix("# ") {
            Some(rest) if keys.iter().any(|key| rest.starts_with(key)) => rest,
            _ => line,
        })
        .collect();
    let uncommented = uncommented.join("\n");
    assert!(uncommented.contains("\n  workers: 512") && uncommented.contains("\npolicy: affinity"));
    let expected = yaml::parse_settings(&commented, "daemon.yaml").expect("valid YAML");
    assert_eq!(
        yaml::parse_settings(&uncommented, "daemon.yaml"),
        Ok(expected)
    );
}

/// guards against a setting that is added to the schema but not to the example file
#[test]
fn every_setting_is_in_the_example() {
    let yaml = example("daemon.yaml");
    let daemon = yaml::parse_settings(&yaml, "daemon.yaml").expect("valid YAML");
    let sections = [
        serde_json::to_value(&daemon).expect("serializable to JSON"),
        serde_json::to_value(&daemon.limits).expect("serializable to JSON"),
        serde_json::to_value(&daemon.timing).expect("serializable to JSON"),
        serde_json::to_value(&daemon.platform).expect("serializable to JSON"),
    ];
    for section in sections {
        for key in section.as_object().expect("JSON object").keys() {
            assert!(yaml.contains(&format!("{key}:")), "{key}");
        }
    }
}
