//! Evaluation of Jsonnet templates, with bounds on file size, call depth and stack.

use crate::{read, Checked, Error, ReadError, TemplateError, Variables};
use jrsonnet_evaluator::error::LocError;
use jrsonnet_evaluator::{EvaluationState, FileImportResolver, FuncVal, ManifestFormat, Val};
use schemars::JsonSchema;
use serde::de::DeserializeOwned;
use serde_json::Value;
use std::path::Path;

/// Maximum size of a template, in bytes. Without a bound, a path to a device or a memory dump would exhaust the
/// memory.
pub(crate) const MAX_FILE_SIZE: u64 = 4 << 20;
/// Maximum depth of nested calls in a template. Without a bound, infinite recursion in a template would overflow the
/// stack and abort the process, instead of ending the evaluation with an error.
const MAX_CALL_DEPTH: usize = 180;
/// Stack size of the evaluation thread, in bytes: enough for [`MAX_CALL_DEPTH`], also in a build without optimisation.
const STACK_SIZE: usize = 256 << 20;

/// Returns the names of a template's parameters; the list is empty if the template is a plain value.
///
/// # Errors
///
/// Returns [`Error::Unreadable`] or [`Error::Template`].
pub fn parameters(file: &Path) -> Result<Vec<String>, Error> {
    run_on_evaluation_thread(file, |file| {
        let template = Template::evaluate(file)?;
        Ok(template.declared_parameters())
    })
}

/// Evaluates a template and reads the result as settings.
///
/// # Errors
///
/// Returns any [`Error`]; none of the settings take effect then.
pub fn load<T: JsonSchema + DeserializeOwned + Checked>(
    file: &Path,
    variables: &Variables,
) -> Result<T, Error> {
    let variables = variables.clone();
    let json = run_on_evaluation_thread(file, move |file| {
        Template::evaluate(file)?.apply(&variables)
    })?;
    read(file, &json)
}

/// Checks the type and the size of the file, and runs an evaluation on a thread with a stack of [`STACK_SIZE`].
fn run_on_evaluation_thread<T: Send + 'static>(
    file: &Path,
    evaluation: impl FnOnce(&Path) -> Result<T, Error> + Send + 'static,
) -> Result<T, Error> {
    let unreadable = |source| Error::Unreadable {
        file: file.to_path_buf(),
        source,
    };
    let metadata = std::fs::metadata(file).map_err(|error| unreadable(error.into()))?;
    if !metadata.is_file() || metadata.len() > MAX_FILE_SIZE {
        return Err(unreadable(ReadError::NoFileOfAllowedSize));
    }
    let owned_path = file.to_path_buf();
    let thread = std::thread::Builder::new()
        .stack_size(STACK_SIZE)
        .spawn(move || evaluation(&owned_path))
        .map_err(|error| unreadable(ReadError::Thread(error)))?;
    thread
        .join()
        .unwrap_or_else(|_| Err(template_error(file, TemplateError::Panicked)))
}

/// A template whose file has been evaluated. The result is a plain value, or a function of the template's parameters.
struct Template<'a> {
    file: &'a Path,
    state: EvaluationState,
    value: Val,
}

impl<'a> Template<'a> {
    fn evaluate(file: &'a Path) -> Result<Self, Error> {
        let state = EvaluationState::default();
        state.with_stdlib();
        state.set_max_stack(MAX_CALL_DEPTH);
        state.set_import_resolver(Box::new(FileImportResolver {
            library_paths: Vec::new(),
        }));
        state.set_manifest_format(ManifestFormat::Json(0));
        let value = state
            .evaluate_file_raw(file)
            .map_err(|error| evaluation_error(file, &state, &error))?;
        Ok(Template { file, state, value })
    }

    fn declared_parameters(&self) -> Vec<String> {
        let Val::Func(function) = &self.value else {
            return Vec::new();
        };
        let FuncVal::Normal(description) = &**function else {
            return Vec::new();
        };
        let parameters = description.params.0.iter();
        parameters
            .map(|parameter| parameter.0.to_string())
            .collect()
    }

    /// Calls the template with the variables as arguments, and returns the result as JSON.
    fn apply(self, variables: &Variables) -> Result<Value, Error> {
        let file = self.file;
        self.set_variables(variables)?;
        let state = self.state;
        let to_error = |error| evaluation_error(file, &state, &error);
        let value = state.with_tla(self.value).map_err(to_error)?;
        let text = state.manifest(value).map_err(to_error)?;
        serde_json::from_str(&text)
            .map_err(|error| template_error(file, TemplateError::NoJson(error)))
    }

    /// Sets the variables as the template's arguments. A value that is valid JSON is passed as JSON, any other as a
    /// string.
    fn set_variables(&self, variables: &Variables) -> Result<(), Error> {
        let declared = self.declared_parameters();
        for (name, text) in variables.iter() {
            if !declared.iter().any(|parameter| parameter == name) {
                return Err(Error::Variable {
                    name: name.to_string(),
                    declared,
                });
            }
            match serde_json::from_str::<Value>(text) {
                Ok(_) => {
                    self.state
                        .add_tla_code(name.into(), text.into())
                        .map_err(|error| evaluation_error(self.file, &self.state, &error))?;
                }
                Err(_) => self.state.add_tla_str(name.into(), text.into()),
            }
        }
        Ok(())
    }
}

/// Converts an error of the evaluator into text, because its type holds references that cannot be sent to another
/// thread.
fn evaluation_error(file: &Path, state: &EvaluationState, error: &LocError) -> Error {
    let trace = state.stringify_err(error);
    template_error(file, TemplateError::Evaluation { trace })
}

fn template_error(file: &Path, source: TemplateError) -> Error {
    Error::Template {
        file: file.to_path_buf(),
        source,
    }
}
