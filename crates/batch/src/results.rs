//! Results of the items of batch jobs, and the JSON page that lists them.

use compact_str::CompactString;
use musli::{Decode, Encode};
pub use orchidvalve_protocol::messages::ItemState;

use crate::json::write_number;
pub use crate::json::write_text;

/// The result of an item. It never changes once it is listed.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode)]
pub struct ItemResult {
    /// Id of the item.
    #[musli(with = crate::text)]
    pub id: CompactString,
    /// Whether the item was completed or has expired.
    pub state: ItemState,
    /// The data of all events in order, separated by line feeds; empty if the item expired.
    #[musli(bytes)]
    pub message: Vec<u8>,
    /// Versions of the weights that generated events of the message, in ascending order.
    pub weight_versions: Vec<u64>,
    /// Signature of the scorer's response (`Server-Signature`); `None` if the message was not scored.
    pub score: Option<String>,
}

impl ItemResult {
    /// Returns the result of an item that expired at its deadline.
    pub fn expired(id: &str) -> ItemResult {
        ItemResult {
            id: CompactString::from(id),
            state: ItemState::Expired,
            message: Vec::new(),
            weight_versions: Vec::new(),
            score: None,
        }
    }
}

/// Maximum size of a page in bytes. A page with a single result may exceed it.
pub const MAX_PAGE_BYTES: usize = 1_000_000;
/// Bytes reserved for the end of the page.
const CLOSING_BYTES: usize = 64;

/// Writes a page of results as JSON. `results` begins at position `after` of a job with `total` items. Returns the
/// number of results that fit and were written.
pub fn write_results_page<'a>(
    out: &mut Vec<u8>,
    total: u64,
    after: u64,
    results: impl IntoIterator<Item = &'a ItemResult>,
) -> u64 {
    write_results_page_within(out, MAX_PAGE_BYTES, total, after, results)
}

/// Writes a page like [`write_results_page`] with a maximum size of `max_bytes`.
pub fn write_results_page_within<'a>(
    out: &mut Vec<u8>,
    max_bytes: usize,
    total: u64,
    after: u64,
    results: impl IntoIterator<Item = &'a ItemResult>,
) -> u64 {
    let start = out.len();
    out.extend_from_slice(b"{\"total\":");
    write_number(out, total);
    out.extend_from_slice(b",\"results\":[");
    let mut count = 0;
    for result in results {
        let before = out.len();
        if count > 0 {
            out.push(b',');
        }
        write_result(out, result);
        if count > 0 && out.len() - start + CLOSING_BYTES > max_bytes {
            out.truncate(before);
            break;
        }
        count += 1;
    }
    out.extend_from_slice(b"],\"next-token\":");
    write_number(out, after + count);
    out.push(b'}');
    count
}

fn write_result(out: &mut Vec<u8>, result: &ItemResult) {
    out.reserve(result.message.len() + 160);
    out.extend_from_slice(b"{\"instance-id\":");
    write_text(out, result.id.as_bytes());
    out.extend_from_slice(b",\"state\":\"");
    out.extend_from_slice(result.state.as_str().as_bytes());
    out.extend_from_slice(b"\",\"message\":");
    write_text(out, &result.message);
    out.extend_from_slice(b",\"weight-versions\":[");
    for (index, version) in result.weight_versions.iter().enumerate() {
        if index > 0 {
            out.push(b',');
        }
        write_number(out, *version);
    }
    out.push(b']');
    if let Some(score) = &result.score {
        out.extend_from_slice(b",\"score\":");
        write_text(out, score.as_bytes());
    }
    out.push(b'}');
}
