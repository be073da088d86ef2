//! The JSON Schema of a settings type, and the validation of a value against it.

use crate::{Checked, Error, Problem};
use schemars::{generate::SchemaSettings, JsonSchema};
use serde::de::DeserializeOwned;
use serde_json::Value;
use std::path::Path;

/// Maximum number of problems in one error, so that a file that contains no settings at all does not flood the log.
const MAX_PROBLEMS: usize = 20;

/// Returns the JSON Schema (draft 2020-12) of a settings type.
pub fn schema<T: JsonSchema>() -> Value {
    let generator = SchemaSettings::draft2020_12()
        .for_deserialize()
        .into_generator();
    generator.into_root_schema_for::<T>().to_value()
}

/// Reads settings from a JSON value. `file` is not read; it is only named in errors.
///
/// # Errors
///
/// Returns [`Error::Invalid`] with the problems of the first step that fails. The steps are validation against the
/// schema, deserialization, and [`Checked::check`].
pub fn read<T: JsonSchema + DeserializeOwned + Checked>(
    file: &Path,
    json: &Value,
) -> Result<T, Error> {
    check_schema::<T>(json)
        .and_then(|()| deserialize(json))
        .and_then(check_settings)
        .map_err(|problems| Error::Invalid {
            file: file.to_path_buf(),
            problems,
        })
}

fn check_schema<T: JsonSchema>(json: &Value) -> Result<(), Vec<Problem>> {
    let validator = jsonschema::validator_for(&schema::<T>()).map_err(|error| {
        let reason = format!("the schema of the settings is invalid: {error}");
        vec![Problem::new("", reason)]
    })?;
    let problems: Vec<Problem> = validator
        .iter_errors(json)
        .take(MAX_PROBLEMS)
        .map(|error| Problem::new(error.instance_path().to_string(), error.to_string()))
        .collect();
    if problems.is_empty() {
        Ok(())
    } else {
        Err(problems)
    }
}

fn deserialize<T: DeserializeOwned>(json: &Value) -> Result<T, Vec<Problem>> {
    serde_path_to_error::deserialize(json).map_err(|error| {
        let path = format!("/{}", error.path().to_string().replace('.', "/"));
        vec![Problem::new(path, error.into_inner().to_string())]
    })
}

fn check_settings<T: Checked>(settings: T) -> Result<T, Vec<Problem>> {
    let mut problems = settings.check();
    problems.truncate(MAX_PROBLEMS);
    if problems.is_empty() {
        Ok(settings)
    } else {
        Err(problems)
    }
}
