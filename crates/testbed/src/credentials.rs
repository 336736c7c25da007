//! How callers identify themselves to the system: API keys (bearer tokens, RFC 6750) and what they claim besides.

/// Scheme of `Authorization` under which API keys are sent; schemes have no case (RFC 9110, section 11.1).
const KEY_SCHEME: &str = "Bearer";

/// Header fields by which a caller identifies itself.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Credentials {
    /// Values of its `Authorization` fields, in order; proper callers send one.
    pub authorization: Vec<String>,
    /// Value of a `Tenant` field that it sends, which is none of its business.
    pub tenant: Option<String>,
}

impl Credentials {
    /// Those of a proper caller with an API key.
    pub fn of_key(key: &str) -> Credentials {
        Credentials { authorization: vec![format!("{KEY_SCHEME} {key}")], tenant: None }
    }

    /// Every API key that is sent.
    pub fn keys(&self) -> impl Iterator<Item = &str> {
        let tokens = self.authorization.iter().filter_map(|value| value.split_once(' '));
        tokens.filter(|(scheme, _)| scheme.eq_ignore_ascii_case(KEY_SCHEME)).map(|(_, key)| key.trim())
    }

    /// The API key of a proper caller: the only one, under the scheme as it's published.
    pub fn proper_key(&self) -> Option<&str> {
        let [only] = self.authorization.as_slice() else { return None };
        only.strip_prefix(KEY_SCHEME)?.strip_prefix(' ')
    }

    /// Names and values of the header fields.
    pub fn fields(&self) -> impl Iterator<Item = (&str, &str)> {
        let authorization = self.authorization.iter().map(|value| ("Authorization", value.as_str()));
        authorization.chain(self.tenant.iter().map(|tenant| ("Tenant", tenant.as_str())))
    }
}
