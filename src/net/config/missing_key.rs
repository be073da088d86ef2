//! Compares the keys of two settings objects.

use irisrouter::platform_settings::OPTIONAL_KEYS;
use serde_json::{Map, Value};

/// Returns the first key, at any depth, that `old` has and `new` lacks. In a list of objects, each entry of the new
/// list must have the keys of the first entry of the old list.
pub fn find_missing_key(old: &Value, new: &Value) -> Option<String> {
    match (old, new) {
        (Value::Object(old), Value::Object(new)) => find_in_object(old, new),
        (Value::Array(old), Value::Array(new)) => {
            let template = old.first().filter(|entry| entry.is_object())?;
            new.iter()
                .find_map(|entry| find_missing_key(template, entry))
        }
        (Value::Object(_) | Value::Array(_), _) => Some("an object or a list".to_string()),
        _ => None,
    }
}

fn find_in_object(old: &Map<String, Value>, new: &Map<String, Value>) -> Option<String> {
    old.iter().find_map(|(key, old_value)| match new.get(key) {
        None | Some(Value::Null) => is_required(key, old_value).then(|| key.clone()),
        Some(new_value) => find_missing_key(old_value, new_value),
    })
}

fn is_required(key: &str, old_value: &Value) -> bool {
    !OPTIONAL_KEYS.contains(&key) && !old_value.is_null()
}
