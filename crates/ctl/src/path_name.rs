//! Validation of names that become part of a request path.

use crate::error::CommandError;

/// Returns the name if it can be part of a path without escaping; `what` is the kind of the name, for the message.
///
/// # Errors
///
/// Returns an error if the name is empty or contains a character that a path would have to escape.
pub(crate) fn path_name<'n>(what: &'static str, name: &'n str) -> Result<&'n str, CommandError> {
    let fits = |c: char| c.is_ascii_alphanumeric() || matches!(c, '.' | '-' | '_');
    if name.is_empty() || !name.chars().all(fits) {
        return Err(CommandError::InvalidName { what, name: name.to_owned() });
    }
    Ok(name)
}
