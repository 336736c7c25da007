//! Texts of items whose batch job has ended, for a later batch job that brings them back.

use std::collections::{HashMap, VecDeque};
use std::sync::Arc;

use compact_str::CompactString;

use super::interface::Item;
use super::servers::ModelKey;
use super::text::Text;

/// The most bytes of text that are kept.
const MAX_BYTES: usize = 4 << 20;

/// A text with the body it was made from.
#[derive(Debug)]
pub struct ArchivedText {
    /// The body of the item.
    pub body: Arc<[u8]>,
    /// The model that made the text.
    pub model: Option<ModelKey>,
    /// The tenant of the batch job: another one's text isn't used.
    pub tenant: Option<CompactString>,
    /// The text as far as it goes.
    pub text: Text,
    /// The text is the complete output.
    pub is_complete: bool,
}

/// The most recent texts, found by the id of their item.
#[derive(Default)]
pub struct TextArchive {
    texts: HashMap<CompactString, ArchivedText>,
    order: VecDeque<CompactString>,
    bytes: usize,
}

impl TextArchive {
    /// Keeps a text; the oldest ones are dropped beyond the bound.
    pub fn put(&mut self, item: CompactString, resumable_text: ArchivedText) {
        if resumable_text.text.is_empty() {
            return;
        }
        self.remove(&item);
        self.bytes += resumable_text.text.size();
        self.order.push_back(item.clone());
        self.texts.insert(item, resumable_text);
        while self.bytes > MAX_BYTES {
            let Some(oldest) = self.order.front().cloned() else { return };
            self.remove(&oldest);
        }
    }

    /// Takes out the text of an item with the same body, model and tenant.
    pub fn take(&mut self, item: &Item, model: Option<ModelKey>) -> Option<ArchivedText> {
        if self.texts.is_empty() {
            return None;
        }
        self.remove(&item.id).filter(|archived| {
            *archived.body == *item.body && archived.model == model && archived.tenant == item.tenant
        })
    }

    fn remove(&mut self, item: &CompactString) -> Option<ArchivedText> {
        let resumable_text = self.texts.remove(item)?;
        self.bytes -= resumable_text.text.size();
        self.order.retain(|other| other != item);
        Some(resumable_text)
    }
}
