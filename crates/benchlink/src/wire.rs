//! Reading single fields of the wire, with a plain message for each that is absent or of another type.

use serde_json::{Map, Value};

pub type Fields = Map<String, Value>;

/// One index server in a numbered list.
pub struct Entry {
    pub server: String,
    pub cell: usize,
    pub serving: bool,
    pub started: Option<i64>,
}

fn wrong(fields: &Fields, name: &str, form: &str) -> String {
    let verb = fields.get("verb").and_then(Value::as_str).unwrap_or("message");
    match fields.get(name) {
        Some(found) => format!("'{verb}': field '{name}' should be {form}, not {found}"),
        None => format!("'{verb}': no field '{name}'"),
    }
}

pub fn text<'a>(fields: &'a Fields, name: &str) -> Result<&'a str, String> {
    fields.get(name).and_then(Value::as_str).ok_or_else(|| wrong(fields, name, "text"))
}

pub fn whole(fields: &Fields, name: &str) -> Result<i64, String> {
    fields.get(name).and_then(Value::as_i64).ok_or_else(|| wrong(fields, name, "a whole number"))
}

pub fn index(fields: &Fields, name: &str) -> Result<usize, String> {
    let value = fields.get(name).and_then(Value::as_u64).ok_or_else(|| wrong(fields, name, "an index"))?;
    usize::try_from(value).map_err(|_| wrong(fields, name, "an index"))
}

pub fn number(fields: &Fields, name: &str) -> Result<f64, String> {
    fields.get(name).and_then(Value::as_f64).ok_or_else(|| wrong(fields, name, "a number"))
}

/// A field that may be left out, as absent values and false flags are.
pub fn or<T>(
    fields: &Fields,
    name: &str,
    left_out: T,
    read: impl Fn(&Fields, &str) -> Result<T, String>,
) -> Result<T, String> {
    if fields.contains_key(name) { read(fields, name) } else { Ok(left_out) }
}

pub fn flag(fields: &Fields, name: &str) -> Result<bool, String> {
    fields.get(name).and_then(Value::as_bool).ok_or_else(|| wrong(fields, name, "true or false"))
}

pub fn entries(census: &Fields) -> Result<Vec<Entry>, String> {
    let hosts =
        census.get("hosts").and_then(Value::as_array).ok_or_else(|| wrong(census, "hosts", "an array"))?;
    hosts.iter().map(entry).collect()
}

fn entry(host: &Value) -> Result<Entry, String> {
    let host = host.as_object().ok_or("'census': an entry is not an object")?;
    Ok(Entry {
        server: text(host, "server")?.to_owned(),
        cell: or(host, "position", 0, index)?,
        serving: text(host, "readiness")? == "SERVING",
        started: Some(or(host, "launchedNs", 0, whole)?).filter(|&at| at != 0),
    })
}
