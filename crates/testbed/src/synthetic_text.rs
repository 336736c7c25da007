//! The texts that emulated model servers generate. A text depends only on the item's id and the event numbers, so
//! that a text combined from the events of several generations can be checked.

/// Filler that gives an event a typical size.
const FILLING: &str = "the lorry leaves at eight and the second crew follows with the crates; ";

/// Offset basis and prime of 64-bit FNV-1a (RFC 9923).
const FNV_OFFSET_BASIS: u64 = 0xcbf2_9ce4_8422_2325;
const FNV_PRIME: u64 = 0x0000_0100_0000_01b3;

/// Returns the 64-bit FNV-1a digest of bytes, which represents bodies in observations.
pub fn digest(bytes: &[u8]) -> u64 {
    bytes.iter().fold(FNV_OFFSET_BASIS, |hash, byte| (hash ^ u64::from(*byte)).wrapping_mul(FNV_PRIME))
}

/// Returns the data of the event with the given number, counted from 1.
pub fn event_data(id: &str, number: u64) -> String {
    let sum = digest(format!("{id}/{number}").as_bytes());
    format!("{id}.{number}.{sum:016x} {FILLING}")
}

/// Returns the number of an event from its data; `None` if the data is not an event of this item.
pub fn event_number(id: &str, data: &str) -> Option<u64> {
    let number = data.strip_prefix(id)?.strip_prefix('.')?.split('.').next()?.parse().ok()?;
    (event_data(id, number) == data).then_some(number)
}

/// Returns the number of events in an item's complete text, given the limit of output tokens and the tokens per
/// event.
pub fn event_count(id: &str, max_output_tokens: u64, tokens_per_event: u64) -> u64 {
    let most = max_output_tokens.div_ceil(tokens_per_event.max(1)).max(1);
    most - digest(id.as_bytes()) % (most / 2 + 1)
}

/// Returns the complete text: the data of all events, joined by line feeds.
pub fn complete_text(id: &str, events: u64) -> String {
    (1..=events).map(|number| event_data(id, number)).collect::<Vec<_>>().join("\n")
}

/// Size of a generation, as stated in a `Token-Usage` header.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct TokenUsage {
    /// Number of prompt tokens.
    pub prompt: u64,
    /// Maximum number of output tokens.
    pub max_output: u64,
}

impl TokenUsage {
    /// Parses the value of a `Token-Usage` header: two numbers separated by a comma.
    pub fn parse(field: &str) -> Option<TokenUsage> {
        let (prompt, max_output) = field.split_once(',')?;
        Some(TokenUsage { prompt: prompt.trim().parse().ok()?, max_output: max_output.trim().parse().ok()? })
    }
}
