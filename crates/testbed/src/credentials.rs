//! Credentials of callers: API keys (bearer tokens, RFC 6750) and claimed tenants.

/// Scheme of `Authorization` for API keys; schemes are case-insensitive (RFC 9110, section 11.1).
const KEY_SCHEME: &str = "Bearer";

/// Header fields with which a caller identifies itself.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Credentials {
    /// Values of the `Authorization` fields, in order. Proper callers send exactly one.
    pub authorization: Vec<String>,
    /// Value of the `Tenant` field; proper callers send none.
    pub tenant: Option<String>,
}

impl Credentials {
    /// Returns the credentials of a proper caller with an API key.
    pub fn of_key(key: &str) -> Credentials {
        Credentials { authorization: vec![format!("{KEY_SCHEME} {key}")], tenant: None }
    }

    /// Returns all API keys in the credentials.
    pub fn keys(&self) -> impl Iterator<Item = &str> {
        let tokens = self.authorization.iter().filter_map(|value| value.split_once(' '));
        tokens.filter(|(scheme, _)| scheme.eq_ignore_ascii_case(KEY_SCHEME)).map(|(_, key)| key.trim())
    }

    /// Returns the API key of a proper caller, which sends a single field with the exact spelling of the scheme.
    pub fn proper_key(&self) -> Option<&str> {
        let [only] = self.authorization.as_slice() else { return None };
        only.strip_prefix(KEY_SCHEME)?.strip_prefix(' ')
    }

    /// Returns the names and values of the header fields.
    pub fn fields(&self) -> impl Iterator<Item = (&str, &str)> {
        let authorization = self.authorization.iter().map(|value| ("Authorization", value.as_str()));
        authorization.chain(self.tenant.iter().map(|tenant| ("Tenant", tenant.as_str())))
    }
}
