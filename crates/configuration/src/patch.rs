//! Patches, which change named items of a configuration.

use serde_json::{Map, Value};

use super::ConfigurationError;
use crate::reader::ValueReader;

const UPSERT_FIELD: &str = "upsert";
const REMOVE_FIELD: &str = "remove";
const NAME_FIELD: &str = "name";

/// Applies a patch to a document: first `remove`, then `upsert`. Every other field of the patch replaces the field of
/// the same name in the document. Existing items are replaced in place, and new items are appended.
///
/// # Errors
///
/// Returns an error if the document or the patch does not have the expected types.
pub fn apply(document: Value, change: &Value) -> Result<Value, ConfigurationError> {
    let Value::Object(mut fields) = document else {
        return Err(ValueReader::root(&document).error("must be a JSON object").into());
    };
    let root = ValueReader::root(change);
    for (name, value) in root.object()? {
        if name != UPSERT_FIELD && name != REMOVE_FIELD && !value.is_null() {
            fields.insert(name.clone(), value.clone());
        }
    }
    if let Some(lists) = root.optional(REMOVE_FIELD)? {
        for list in lists.object()?.keys() {
            remove_items(&mut fields, list, &lists.field(list)?)?;
        }
    }
    if let Some(lists) = root.optional(UPSERT_FIELD)? {
        for list in lists.object()?.keys() {
            upsert(&mut fields, list, &lists.field(list)?)?;
        }
    }
    Ok(Value::Object(fields))
}

fn remove_items(
    fields: &mut Map<String, Value>,
    list: &str,
    names: &ValueReader<'_, '_>,
) -> Result<(), ConfigurationError> {
    let names = names.items()?.map(|name| name.text()).collect::<Result<Vec<&str>, _>>()?;
    if let Some(Value::Array(items)) = fields.get_mut(list) {
        items.retain(|item| !name_of(item).is_some_and(|name| names.contains(&name)));
    }
    Ok(())
}

/// Adds or replaces items of a list by name. An object such as `limits` is replaced as a whole.
fn upsert(
    fields: &mut Map<String, Value>,
    list: &str,
    sent: &ValueReader<'_, '_>,
) -> Result<(), ConfigurationError> {
    if sent.value().is_object() {
        fields.insert(list.to_owned(), sent.value().clone());
        return Ok(());
    }
    let Value::Array(items) = fields.entry(list).or_insert_with(|| Value::Array(Vec::new())) else {
        return Err(sent.error("is no list in the current configuration; send an object").into());
    };
    for item in sent.items()? {
        let name = item.field(NAME_FIELD)?.non_empty_text()?;
        match items.iter_mut().find(|present| name_of(present) == Some(name)) {
            Some(present) => *present = item.value().clone(),
            None => items.push(item.value().clone()),
        }
    }
    Ok(())
}

fn name_of(item: &Value) -> Option<&str> {
    item.get(NAME_FIELD).and_then(Value::as_str)
}
