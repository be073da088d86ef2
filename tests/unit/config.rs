//! The configuration file and the environment.

use super::missing_key::find_missing_key;
use super::*;
use serde_json::json;

#[test]
fn missing_key_is_found_at_any_depth_unless_it_is_optional_or_null() {
    let old = json!({"Bounds": {"MostTries": 3}, "Classes": [{"Name": "read", "AimStretch": 1.0}], "Gone": null});
    assert_eq!(find_missing_key(&old, &old), None);
    let cases = [
        (json!({"Classes": [{"Name": "read"}]}), Some("Bounds")),
        (
            json!({"Bounds": {}, "Classes": [{"Name": "read"}]}),
            Some("MostTries"),
        ),
        (
            json!({"Bounds": {"MostTries": null}, "Classes": []}),
            Some("MostTries"),
        ),
        (
            json!({"Bounds": {"MostTries": 1}, "Classes": [{"Name": "own"}, {}]}),
            Some("Name"),
        ),
        (
            json!({"Bounds": 4, "Classes": []}),
            Some("an object or a list"),
        ),
        (
            json!({"Bounds": {"MostTries": 1}, "Classes": [{"Name": "own"}]}),
            None,
        ),
    ];
    for (new, missing) in cases {
        let found = find_missing_key(&old, &new);
        assert_eq!(found.as_deref(), missing, "{new}");
    }
}

#[test]
fn configuration_without_its_file_names_the_variable_or_the_path() {
    let error = Config::load(|_| None).err().expect("no file is named");
    assert_eq!(error.to_string(), "BALANCER_CONFIG is not set");
    let error = Config::load(|_| Some("/nowhere/config.json".to_string()))
        .err()
        .expect("no such file");
    assert_eq!(
        error.to_string(),
        "cannot read /nowhere/config.json: No such file or directory (os error 2)"
    );
}

#[test]
fn environment_with_empty_variables_counts_as_not_set() {
    let empty = Environment::new(&|_: &str| Some(String::new()));
    assert_eq!(empty.listener_source, ListenerSource::Bound);
    assert_eq!(empty.hot_restart_socket, None);
    assert_eq!((empty.listen, empty.console), (None, None));
}

#[test]
fn environment_with_an_inherited_socket_has_the_hot_restart_socket_in_the_shared_directory() {
    let variable = |name: &str| match name {
        "BALANCER_PASSED_SOCKET" => Some("3".to_string()),
        "TMPDIR" => Some("/shared".to_string()),
        _ => None,
    };
    let environment = Environment::new(&variable);
    assert_eq!(environment.listener_source, ListenerSource::Inherited);
    let socket = environment.hot_restart_socket;
    assert_eq!(socket, Some(PathBuf::from("/shared/irisrouter.sock")));
    let without_inherited_socket =
        Environment::new(&|name: &str| variable(name).filter(|_| name == "TMPDIR"));
    assert_eq!(without_inherited_socket.hot_restart_socket, None);
}
