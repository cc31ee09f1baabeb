//! Checks of declarations and settings report every fault with its path.

use proptest::prelude::*;
use schema::check::{self, Fault};
use schema::config::{Capacity, Declaration, Fencing, Kind, Preset, Service, Upstream, Workspace};
use schema::yaml;

fn example_declaration() -> Declaration {
    let file = concat!(
        env!("CARGO_MANIFEST_DIR"),
        "/../../examples/koe-no-kura.yaml"
    );
    let yaml = std::fs::read_to_string(file).expect("readable example file");
    yaml::parse_declaration(&yaml, file).expect("valid YAML")
}

fn faults(change: impl FnOnce(&mut Declaration)) -> Vec<Fault> {
    let mut declaration = example_declaration();
    change(&mut declaration);
    check::declaration(&declaration).err().unwrap_or_default()
}

/// asserts that the changed example declaration has exactly one fault, at `path`
fn assert_single_fault(path: &str, change: impl FnOnce(&mut Declaration)) {
    let faults = faults(change);
    let paths: Vec<&str> = faults.iter().map(|fault| fault.path.as_str()).collect();
    assert_eq!(paths, [path], "{faults:?}");
    assert!(!faults[0].problem.is_empty() && !faults[0].allowed.is_empty());
}

#[test]
fn service_faults_have_paths() {
    assert_single_fault("services[2].name", |d| {
        let service = Service {
            name: "front desk".into(),
            ..d.services[1].clone()
        };
        d.services.push(service);
    });
    assert_single_fault("services[0].first_token_ms", |d| {
        d.services[0].first_token_ms = 0
    });
    assert_single_fault("services[0].between_tokens_ms", |d| {
        d.services[0].between_tokens_ms = 0
    });
    assert_single_fault("services[0].deadline_ms", |d| d.services[0].deadline_ms = 0);
    assert_single_fault("services[0].repeatable", |d| {
        d.services[0].repeatable = vec!["POST".into()]
    });
    assert_single_fault("services[1].repeatable[0]", |d| {
        d.services[1].repeatable = vec!["post it".into()]
    });
}

#[test]
fn upstream_faults_have_paths() {
    assert_single_fault("upstreams[2].name", |d| {
        d.upstreams[2].name = d.upstreams[0].name.clone()
    });
    assert_single_fault("upstreams[0].service", |d| {
        d.upstreams[0].service = "nothing".into()
    });
    assert_single_fault("upstreams[0].data_centre", |d| {
        d.upstreams[0].data_centre = String::new()
    });
    assert_single_fault("upstreams[3].region", |d| {
        d.upstreams[3].region = "elsewhere".into()
    });
    assert_single_fault("upstreams[1].class", |d| {
        d.upstreams[1].class = "gpu\u{7f}".into()
    });
    assert_single_fault("upstreams[1].slots", |d| d.upstreams[1].slots = 0);
    assert_single_fault("upstreams[1].addresses[0]", |d| {
        d.upstreams[1].addresses = vec!["host:80".into()]
    });
    assert_single_fault("upstreams[1].addresses[0]", |d| {
        d.upstreams[1].addresses = vec!["10.0.0.1:0".into()]
    });
    assert_single_fault("upstreams[1].addresses[1]", |d| {
        d.upstreams[1].addresses = vec!["10.0.0.1:80".into(), "10.0.0.1:80".into()];
    });
}

#[test]
fn workspace_faults_have_paths() {
    assert_single_fault("workspaces[1].name", |d| {
        d.workspaces[1].name = d.workspaces[0].name.clone()
    });
    assert_single_fault("workspaces[1].priority", |d| d.workspaces[1].priority = 10);
    assert_single_fault("workspaces[0].keys[1]", |d| {
        d.workspaces[0].keys[1] = "secret".into()
    });
    assert_single_fault("workspaces[2].keys[0]", |d| {
        d.workspaces[2].keys[0] = d.workspaces[0].keys[0].to_uppercase();
    });
    assert_single_fault("workspaces[0].services[0]", |d| {
        d.workspaces[0].services[0] = "nothing".into()
    });
}

#[test]
fn preset_faults_have_paths() {
    assert_single_fault("presets[1].name", |d| d.presets[1].name = "ordinary".into());
    assert_single_fault("presets[0].admit_priority", |d| {
        d.presets[0].admit_priority = 12
    });
    assert_single_fault("presets[0].capacity[1].service", |d| {
        d.presets[0].capacity[1].service = "homily-models".into();
    });
    assert_single_fault("presets[0].capacity[0].floor", |d| {
        d.presets[0].capacity[0].floor = 99
    });
    assert_single_fault("presets[0].capacity[0].load_percent", |d| {
        d.presets[0].capacity[0].load_percent = 0
    });
    assert_single_fault("presets[0].capacity[0].on_demand_percent", |d| {
        d.presets[0].capacity[0].on_demand_percent = 101;
    });
    assert_single_fault("preset", |d| d.preset = "quiet".into());
}

#[test]
fn all_faults_are_reported_at_once() {
    let faults = faults(|d| {
        d.upstreams[0].slots = 0;
        d.workspaces[0].priority = 77;
        d.preset = "quiet".into();
    });
    let paths: Vec<&str> = faults.iter().map(|fault| fault.path.as_str()).collect();
    assert_eq!(
        paths,
        ["upstreams[0].slots", "workspaces[0].priority", "preset"]
    );
    let text = faults[2].to_string();
    assert!(
        text.contains("\"quiet\"") && text.contains("ordinary, peak, maintenance"),
        "{text}"
    );
}

#[test]
fn an_empty_declaration_is_rejected() {
    let faults = faults(|d| {
        d.services.clear();
        d.upstreams.clear();
        d.workspaces.clear();
        d.presets.clear();
    });
    let paths: Vec<&str> = faults.iter().map(|fault| fault.path.as_str()).collect();
    assert_eq!(paths, ["services", "preset"]);
}

#[test]
fn a_declaration_too_large_for_one_object_is_rejected() {
    let found = faults(|d| {
        for number in 0..9_000 {
            let mut workspace = d.workspaces[0].clone();
            workspace.name = format!("workspace-{number}");
            workspace.keys = vec![format!("{number:064x}")];
            d.workspaces.push(workspace);
        }
    });
    assert_eq!(found.len(), 1, "{:?}", found.first());
    assert!(found[0].problem.contains("bytes as JSON"));
}

#[test]
fn settings_faults_have_paths() {
    let file = concat!(env!("CARGO_MANIFEST_DIR"), "/../../examples/daemon.yaml");
    let yaml = std::fs::read_to_string(file).expect("readable example file");
    let mut daemon = yaml::parse_settings(&yaml, file).expect("valid YAML");
    daemon.vm = "entry 1".into();
    daemon.listen.control = daemon.listen.callers.clone();
    daemon.peers = vec!["entry-2:8081".into()];
    daemon.keys.operator_file = daemon.keys.fleet_file.clone();
    daemon.platform.objects = "https://10.0.0.1".into();
    daemon.limits.workers = 0;
    daemon.timing.drain_ms = 0;
    let faults = check::settings(&daemon).expect_err("invalid settings");
    let paths: Vec<&str> = faults.iter().map(|fault| fault.path.as_str()).collect();
    let expected = [
        "vm",
        "listen.control",
        "peers[0]",
        "keys.operator_file",
        "platform.objects",
        "limits.workers",
        "timing.drain_ms",
    ];
    assert_eq!(paths, expected);
}

fn name() -> impl Strategy<Value = String> {
    // includes names that YAML could parse as a type other than a string
    prop_oneof![
        "[a-z0-9]{1,8}",
        Just("null".into()),
        Just("true".into()),
        Just("1e5".into())
    ]
}

prop_compose! {
    fn service()(name in name(), model in any::<bool>(), deadline_ms in 1..u64::MAX) -> Service {
        let kind = if model { Kind::Model } else { Kind::Plain };
        let repeatable = if model { vec![] } else { vec!["POST".to_owned()] };
        Service { name, kind, first_token_ms: 1, between_tokens_ms: 2, deadline_ms, repeatable }
    }
}

prop_compose! {
    fn upstream(service: String)(
        name in name(), slots in 1..u32::MAX, class in "[A-Za-z0-9._-]{0,6}", port in 1..u16::MAX, v6 in any::<bool>(),
    ) -> Upstream {
        let address = if v6 { format!("[::1]:{port}") } else { format!("127.0.0.1:{port}") };
        Upstream {
            name, class, slots, service: service.clone(), data_centre: "a".into(), region: String::new(),
            fencing: Fencing::Checked, addresses: vec![address],
        }
    }
}

prop_compose! {
    fn preset(service: String)(
        floor in 0..5u32, extra in 0..9u32, percent in 1..=100u32, hold in any::<bool>(), admit_priority in 0..=9u8,
    ) -> Preset {
        let capacity = Capacity {
            service: service.clone(), floor, ceiling: floor + extra, spare: extra, load_percent: percent,
            on_demand_percent: percent, hold,
        };
        Preset { name: "ordinary".into(), admit_priority, capacity: vec![capacity] }
    }
}

fn declaration() -> impl Strategy<Value = Declaration> {
    service().prop_flat_map(|service| {
        let service_name = service.name.clone();
        let parts = (
            upstream(service_name.clone()),
            preset(service_name.clone()),
            name(),
            "[0-9a-f]{64}",
        );
        parts.prop_map(move |(upstream, preset, name, key)| {
            let workspace = Workspace {
                name,
                keys: vec![key],
                priority: 9,
                concurrent: 1,
                tokens_per_second: u32::MAX,
                services: vec![service_name.clone()],
            };
            Declaration {
                preset: preset.name.clone(),
                presets: vec![preset],
                services: vec![service.clone()],
                upstreams: vec![upstream],
                workspaces: vec![workspace],
            }
        })
    })
}

proptest! {
    #[test]
    fn valid_declarations_round_trip(declaration in declaration()) {
        prop_assert_eq!(check::declaration(&declaration), Ok(()));
        let yaml = serde_norway::to_string(&declaration).expect("serializable to YAML");
        prop_assert_eq!(&yaml::parse_declaration(&yaml, "a.yaml").expect("valid YAML"), &declaration);
        let json = serde_json::to_string(&declaration).expect("serializable to JSON");
        prop_assert_eq!(&serde_json::from_str::<Declaration>(&json).expect("valid JSON"), &declaration);
        // JSON is also valid YAML
        prop_assert_eq!(&yaml::parse_declaration(&json, "a.json").expect("valid YAML"), &declaration);
    }
}
