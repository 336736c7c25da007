//! Checks that each field of a type, also a private one, was generated with different values.
//!
//! Fields are found in the output of `{:#?}`, so a new field is checked without further work.

use std::collections::{BTreeMap, BTreeSet};
use std::fmt::Debug;

/// Indentation of the fields of the outermost struct.
const INDENT: &str = "    ";

/// The distinct texts of each field over all values seen.
#[derive(Default)]
pub struct SeenFields(BTreeMap<String, BTreeSet<String>>);

impl SeenFields {
    pub fn record(&mut self, value: &impl Debug) {
        let text = format!("{value:#?}");
        let mut field: Option<(String, String)> = None;
        for line in text.lines() {
            let Some(line) = line.strip_prefix(INDENT) else { continue };
            match line.split_once(": ") {
                Some((name, rest)) if !line.starts_with(' ') => {
                    self.insert(field.replace((name.to_owned(), rest.to_owned())));
                }
                _ => field.iter_mut().for_each(|(_, text)| text.push_str(line)),
            }
        }
        self.insert(field);
    }

    fn insert(&mut self, field: Option<(String, String)>) {
        if let Some((name, text)) = field {
            self.0.entry(name).or_default().insert(text);
        }
    }

    /// Asserts that every field was seen with at least two values.
    pub fn assert_all_varied(&self) {
        assert!(!self.0.is_empty(), "no field was found");
        for (name, texts) in &self.0 {
            assert!(texts.len() > 1, "the field {name} was always {texts:?}: generate it in strategies.rs");
        }
    }
}
