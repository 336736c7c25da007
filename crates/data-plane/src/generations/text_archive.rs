//! Archive of the texts of items whose groups were dropped, for a later assignment of the same items.

use std::collections::{HashMap, VecDeque};
use std::sync::Arc;

use compact_str::CompactString;
use orchidvalve_scheduler::PoolKey;

use super::interface::Item;
use super::servers::ModelKey;
use super::text::Text;

/// The maximum total size of the archived texts, in bytes.
const MAX_BYTES: usize = 4 << 20;

/// An archived text and the item properties that must match for its reuse.
#[derive(Debug)]
pub struct ArchivedText {
    /// The body of the item.
    pub body: Arc<[u8]>,
    /// The pool of servers that generated the text. An incomplete text is never resumed in another pool.
    pub pool: PoolKey,
    /// The model that generated the text.
    pub model: Option<ModelKey>,
    /// The tenant of the batch job. The text is never reused for another tenant.
    pub tenant: Option<CompactString>,
    /// The text, possibly incomplete.
    pub text: Text,
    /// Whether the text is the complete output.
    pub is_complete: bool,
}

/// The most recently archived texts, by item id.
#[derive(Default)]
pub struct TextArchive {
    texts: HashMap<CompactString, ArchivedText>,
    order: VecDeque<CompactString>,
    bytes: usize,
}

impl TextArchive {
    /// Archives a text that isn't empty. The oldest texts are dropped while the total exceeds the size limit.
    pub fn put(&mut self, item: CompactString, archived: ArchivedText) {
        if archived.text.is_empty() {
            return;
        }
        self.remove(&item);
        self.bytes += archived.text.size();
        self.order.push_back(item.clone());
        self.texts.insert(item, archived);
        while self.bytes > MAX_BYTES {
            let Some(oldest) = self.order.front().cloned() else { return };
            self.remove(&oldest);
        }
    }

    /// Removes and returns the text of an item, if its body, model and tenant are the same.
    pub fn take(&mut self, item: &Item, model: Option<ModelKey>) -> Option<ArchivedText> {
        if self.texts.is_empty() {
            return None;
        }
        self.remove(&item.id).filter(|archived| {
            *archived.body == *item.body && archived.model == model && archived.tenant == item.tenant
        })
    }

    fn remove(&mut self, item: &CompactString) -> Option<ArchivedText> {
        let archived = self.texts.remove(item)?;
        self.bytes -= archived.text.size();
        self.order.retain(|other| other != item);
        Some(archived)
    }
}
