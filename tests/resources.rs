//! Resources of mulberryd: what is accepted, what may change later, and what concurrent changes and
//! older or invalid revisions do.

use expect_test::{Expect, expect};
use mulberryspur::{
    jsonc,
    registry::{Change, ConfigChangeError, ConfigRegistry, InstallResult, StoredConfig},
    resource::Resource,
};
use serde_json::{Value, json};

fn base_resources() -> Vec<Value> {
    vec![
        json!({"kind": "Service", "name": "foldbook"}),
        json!({"kind": "Route", "name": "r", "service": "foldbook", "path": "/p",
               "key": {"path_segment": 1}}),
        json!({"kind": "Ownership", "service": "foldbook", "slots": 8, "homes": ["dc-1"]}),
        json!({"kind": "Upstream", "name": "u1", "service": "foldbook",
               "address": "127.0.0.1:1", "data_center": "dc-1"}),
    ]
}

fn change(resources: &[Value]) -> Change {
    let apply: Vec<Value> = resources.iter().map(|r| json!({ "resource": r })).collect();
    serde_json::from_value(json!({ "apply": apply })).expect("well-formed")
}

fn apply_to_empty(resources: &[Value]) -> Result<StoredConfig, String> {
    StoredConfig::default().with_change(&change(resources), 1).map_err(error_text)
}

fn error_text(e: ConfigChangeError) -> String {
    match e {
        ConfigChangeError::Conflict { id, current } => {
            format!("conflict: {id} has version {current}")
        }
        ConfigChangeError::Invalid(e) => e.to_string(),
    }
}

fn check_applied_to_empty(edit: impl FnOnce(&mut Vec<Value>), expected: &Expect) {
    let mut resources = base_resources();
    edit(&mut resources);
    let actual =
        apply_to_empty(&resources).map_or_else(|e| e, |c| format!("revision {}", c.revision));
    expected.assert_eq(&actual);
}

macro_rules! applied_to_empty {
    ($($name:ident: $edit:expr => $expected:expr;)*) => {
        $(#[test] fn $name() { check_applied_to_empty($edit, &$expected); })*
    };
}

applied_to_empty! {
    base_is_accepted: |_| {} => expect!["revision 1"];
    unknown_service: |r| r[1]["service"] = json!("other") => expect!["check resource: Route/r: field `service`: accepts the name of a Service that exists"];
    keyed_route_needs_a_key: |r| { r[1].as_object_mut().unwrap().remove("key"); } => expect!["check resource: Route/r: field `key`: accepts header, path_segment or query; the service has an Ownership"];
    path_must_be_absolute: |r| r[1]["path"] = json!("p") => expect!["check resource: Route/r: field `path`: accepts a path that starts with `/`"];
    name_characters: |r| r[3]["name"] = json!("U 1") => expect!["check resource: Upstream/U 1: field `name`: accepts 1 to 63 of a-z, 0-9, `-`, `.`, `_`"];
    slots_in_range: |r| r[2]["slots"] = json!(0) => expect!["check resource: Ownership/foldbook: field `slots`: accepts 1 to 65536"];
    needs_a_home: |r| r[2]["homes"] = json!([]) => expect!["check resource: Ownership/foldbook: field `homes`: accepts at least one data centre"];
    pins_once: |r| r[2]["pins"] = json!([{"key": "a"}, {"key": "a"}]) => expect!["check resource: Ownership/foldbook: field `pins`: accepts each key once"];
    address_once: |r| {
        let mut other = r[3].clone();
        other["name"] = json!("u2");
        r.push(other);
    } => expect!["check resource: Upstream/u2: field `address`: accepts one that no other upstream has"];
    same_fencing: |r| {
        r.push(json!({"kind": "Upstream", "name": "u2", "service": "foldbook",
                      "address": "127.0.0.1:2", "data_center": "dc-1", "fencing": "unchecked"}));
    } => expect!["check resource: Upstream/u2: field `fencing`: accepts the same value as the service's other upstreams"];
}

fn apply_after_base(second: Value) -> String {
    let first = apply_to_empty(&base_resources()).unwrap();
    first
        .with_change(&change(&[second]), 2)
        .map_or_else(error_text, |c| format!("revision {}", c.revision))
}

macro_rules! applied_after_base {
    ($($name:ident: $edit:expr => $expected:expr;)*) => {
        $(#[test] fn $name() {
            let mut resources = base_resources();
            let n: usize = $edit(&mut resources);
            $expected.assert_eq(&apply_after_base(resources[n].clone()));
        })*
    };
}

applied_after_base! {
    drain: |r: &mut Vec<Value>| { r[3]["state"] = json!("draining"); 3 } => expect!["revision 2"];
    slots_are_fixed: |r: &mut Vec<Value>| { r[2]["slots"] = json!(9); 2 } => expect!["check resource: Ownership/foldbook: field `slots`: cannot change once the resource exists"];
    homes_are_fixed: |r: &mut Vec<Value>| { r[2]["homes"] = json!(["dc-2"]); 2 } => expect!["check resource: Ownership/foldbook: field `homes`: cannot change once the resource exists"];
    fencing_is_fixed: |r: &mut Vec<Value>| { r[3]["fencing"] = json!("unchecked"); 3 } => expect!["check resource: Upstream/u1: field `fencing`: cannot change once the resource exists"];
    pins_are_appended: |r: &mut Vec<Value>| { r[2]["pins"] = json!([{"key": "a"}]); 2 } => expect!["revision 2"];
}

#[test]
fn ownership_cannot_be_removed() {
    let first = apply_to_empty(&base_resources()).unwrap();
    let remove = json!({"delete": [{"id": "Ownership/foldbook"}]});
    let result = first.with_change(&serde_json::from_value(remove).unwrap(), 2);
    expect!["check resource: Ownership/foldbook: field `service`: cannot be removed, since its slots may be granted"].assert_eq(&result.map_or_else(error_text, |_| "removed".to_owned()));
}

#[test]
fn one_of_two_racing_operators_wins() {
    let first = apply_to_empty(&base_resources()).unwrap();
    let edit = |state: &str| {
        let mut upstream = base_resources()[3].clone();
        upstream["state"] = json!(state);
        let change = json!({"apply": [{"expect": 1, "resource": upstream}]});
        serde_json::from_value::<Change>(change).unwrap()
    };
    let winner = first.with_change(&edit("draining"), 2).map_err(error_text).unwrap();
    let loser = winner.with_change(&edit("active"), 3).map_err(error_text);
    assert_eq!(loser.unwrap_err(), "conflict: Upstream/u1 has version 2");
}

#[test]
fn a_batch_is_made_whole_or_not_at_all() {
    let first = apply_to_empty(&base_resources()).unwrap();
    let batch = json!({"apply": [
        {"resource": {"kind": "Service", "name": "new"}},
        {"expect": 7, "resource": base_resources()[3]},
    ]});
    let result = first.with_change(&serde_json::from_value(batch).unwrap(), 2);
    assert!(result.is_err());
    assert_eq!(first.resources.len(), 4);
}

#[test]
fn configuration_never_goes_back() {
    let registry = ConfigRegistry::new();
    let config = apply_to_empty(&base_resources()).unwrap();
    assert_eq!(registry.install_if_newer(5, config.resources.clone()), InstallResult::Installed);
    assert_eq!(registry.install_if_newer(4, Vec::new()), InstallResult::NotNewer);
    assert_eq!(registry.install_if_newer(5, Vec::new()), InstallResult::NotNewer);
    assert_eq!(registry.current().resources.len(), 4);
}

#[test]
fn a_bad_revision_leaves_the_last_good_one_in_force() {
    let registry = ConfigRegistry::new();
    let config = apply_to_empty(&base_resources()).unwrap();
    registry.install_if_newer(1, config.resources.clone());
    let without_service = config.resources[1..].to_vec();
    let without_service: Vec<_> = without_service
        .into_iter()
        .filter(|r| !matches!(r.resource, Resource::Service(_)))
        .collect();
    assert!(matches!(registry.install_if_newer(2, without_service), InstallResult::Refused(_)));
    assert_eq!(registry.current().revision, 1);
}

#[test]
fn unknown_fields_are_errors() {
    let text = "[\n  { \"kind\": \"Service\", \"name\": \"a\",\n    \"concurency\": 5 }\n]";
    let e = jsonc::parse::<Vec<Resource>>("a.jsonc", text).unwrap_err();
    expect!["read JSON: a.jsonc:3: field `[0]`: unknown field `concurency`, expected one of `name`, `concurrency`, `connections`, `timeout_ms`, `objective`"].assert_eq(&e.to_string());
}

proptest::proptest! {
    #![proptest_config(proptest::prelude::ProptestConfig {
        rng_seed: proptest::test_runner::RngSeed::Fixed(6), cases: 2_000,
        failure_persistence: None, ..Default::default()
    })]

    /// Malformed input gives an error, never a panic.
    #[test]
    fn malformed_text_is_an_error(text in "[\\[\\]{}:,\"a-z0-9/* \\n\\\\-]{0,80}") {
        let _ = jsonc::parse::<Change>("fuzz", &text);
    }

    /// Well-formed JSON of the wrong form gives an error, never a panic.
    #[test]
    fn odd_values_are_errors(kind in "(Service|Route|Upstream|Ownership|Other)",
                             field in "(name|slots|pins|homes|path|key|address)",
                             value in "(null|-1|1e300|\"\"|\"x\"|\\[\\]|\\{\\}|\\[\\[\\]\\])") {
        let text = format!("{{\"apply\":[{{\"resource\":{{\"kind\":\"{kind}\",\"{field}\":{value}}}}}]}}");
        if let Ok(change) = jsonc::parse::<Change>("fuzz", &text) {
            let _ = StoredConfig::default().with_change(&change, 1);
        }
    }
}
