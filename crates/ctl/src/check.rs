//! Finds every error of a configuration, not only the first one that the system would report.
//!
//! The system's own check stops at the first error. Here each error is recorded and corrected in a copy of the document
//! with the smallest change that the check accepts, and the copy is checked again.

use orchidvalve_configuration::{Configuration, ConfigurationError};
use serde_json::{Value, json};

/// The maximum number of errors that are reported.
pub const MAX_ERRORS: usize = 100;

/// Returns the errors of a whole configuration, each with its path and a remedy; empty if the configuration is valid.
pub fn errors(body: &[u8]) -> Vec<String> {
    let mut found = Vec::new();
    let Err(mut error) = Configuration::replace(body, None) else { return found };
    let document: Result<Value, _> = serde_json::from_slice(body);
    let Ok(mut document) = document else { return vec![error.to_string()] };
    while found.len() < MAX_ERRORS {
        found.push(error.to_string());
        match correct(&mut document, &error, found.len()) {
            Some(next) => error = next,
            None => break,
        }
    }
    found
}

/// Corrects the error and returns the next one, if any. `number` makes names that do not occur in the document.
fn correct(document: &mut Value, error: &ConfigurationError, number: usize) -> Option<ConfigurationError> {
    if matches!(error, ConfigurationError::LargeInteger { .. }) {
        // The parsed document has the nearest number that can be kept.
        return Configuration::replace(document.to_string().as_bytes(), None).err();
    }
    let path = path_of(error)?;
    add_service_if_none(document, &unused_name(document, number));
    let unused = unused_name(document, number);
    for value in replacements(document, error, &unused) {
        let mut changed = document.clone();
        if !set(&mut changed, &path, value) {
            return None;
        }
        match Configuration::replace(changed.to_string().as_bytes(), None) {
            Ok(_) => return None,
            Err(next) if !is_within(&next, &path) => {
                *document = changed;
                return Some(next);
            }
            Err(_) => {}
        }
    }
    None
}

/// Returns the path of the value that must be corrected; `None` if the error concerns no single value.
fn path_of(error: &ConfigurationError) -> Option<String> {
    match error {
        ConfigurationError::Unreadable(read) => Some(read.path.clone()),
        ConfigurationError::UnknownService { path, .. }
        | ConfigurationError::DuplicateName { path, .. }
        | ConfigurationError::ZeroWeights { path }
        | ConfigurationError::ZeroTimeout { path }
        | ConfigurationError::SharedKey { path, .. } => Some(path.clone()),
        ConfigurationError::ScalingBounds { path, .. } => Some(format!("{path}.min-count")),
        ConfigurationError::DuplicateRoute { path, .. } => Some(format!("{path}.path-prefix")),
        ConfigurationError::VersionNotAbove { .. } => Some("config-version".to_owned()),
        ConfigurationError::NotJson { .. }
        | ConfigurationError::TooLong { .. }
        | ConfigurationError::LargeInteger { .. }
        | ConfigurationError::NothingToChange => None,
    }
}

/// Returns whether the error is at the path or below it.
fn is_within(error: &ConfigurationError, outer: &str) -> bool {
    path_of(error).is_some_and(|path| {
        path.strip_prefix(outer).is_some_and(|rest| rest.is_empty() || rest.starts_with(['.', '[']))
    })
}

/// Returns candidate values for a correction, the ones that preserve the structure first. Removing the field comes
/// last, since it can cause an error that the document does not have.
fn replacements(document: &Value, error: &ConfigurationError, unused: &str) -> Vec<Value> {
    let service = document.pointer("/services/0/name").cloned().unwrap_or_default();
    let prefix = format!("/{unused}/");
    let target = json!({"service": service, "weight": 1});
    let route = json!({"name": unused, "hostname": unused, "path-prefix": prefix, "service": service});
    match error {
        ConfigurationError::UnknownService { .. } => vec![service],
        _ => vec![
            json!([target]),
            json!(1),
            json!(unused),
            json!(prefix),
            service,
            target,
            route,
            json!(false),
            json!([]),
            Value::Null,
        ],
    }
}

/// Adds a service that routes can refer to, so that a missing service is not reported twice at every route.
fn add_service_if_none(document: &mut Value, name: &str) {
    if let Some(services) = document.get_mut("services").and_then(Value::as_array_mut)
        && services.is_empty()
    {
        services.push(json!({"name": name}));
    }
}

/// Returns a name that does not occur in the document.
fn unused_name(document: &Value, number: usize) -> String {
    let text = document.to_string();
    let mut name = format!("unused-{number}");
    while text.contains(&name) {
        name.push('-');
    }
    name
}

/// Sets the value at a path such as `routes[3].timeout-ms`, even if nothing exists there yet. Returns `false` if the
/// path leads nowhere.
fn set(document: &mut Value, path: &str, value: Value) -> bool {
    let steps = path.replace('[', ".").replace(']', "");
    let (parent, last) = steps.rsplit_once('.').unwrap_or(("", &steps));
    let pointer = parent.split('.').filter(|step| !step.is_empty()).map(|step| format!("/{step}"));
    match document.pointer_mut(&pointer.collect::<String>()) {
        Some(Value::Object(fields)) => {
            fields.insert(last.to_owned(), value);
            true
        }
        Some(Value::Array(items)) => {
            let item = last.parse().ok().and_then(|index: usize| items.get_mut(index));
            item.map(|item| *item = value).is_some()
        }
        _ => false,
    }
}
