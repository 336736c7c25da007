//! Reading of the fragments of one file.

use std::io;

use crate::format::{FILE_HEADER_BYTES, FRAGMENT_HEADER_BYTES, FragmentHeader};
use crate::storage::Storage;

const READ_BYTES: usize = 64 << 10;

/// Buffered reader of the fragments of one file.
pub(crate) struct FragmentReader<'a, S: Storage> {
    storage: &'a mut S,
    file: &'a S::File,
    file_bytes: u64,
    /// Offset of the current fragment in the file.
    pub offset: u64,
    buffer: Vec<u8>,
    /// Offset of the current fragment in the buffer.
    start: usize,
    /// Size of the current fragment in bytes.
    current: usize,
}

impl<'a, S: Storage> FragmentReader<'a, S> {
    pub fn new(storage: &'a mut S, file: &'a S::File, file_bytes: u64) -> Self {
        Self {
            storage,
            file,
            file_bytes,
            offset: FILE_HEADER_BYTES,
            buffer: Vec::new(),
            start: 0,
            current: 0,
        }
    }

    /// Returns the fragment at the current offset if it is valid.
    pub fn next(&mut self, salt: u32) -> io::Result<Option<(FragmentHeader, &[u8])>> {
        if !self.fill(FRAGMENT_HEADER_BYTES)? {
            return Ok(None);
        }
        let mut head = [0; FRAGMENT_HEADER_BYTES];
        head.copy_from_slice(&self.buffer[self.start..self.start + FRAGMENT_HEADER_BYTES]);
        let header = FragmentHeader::decode(&head);
        let fragment_bytes = FRAGMENT_HEADER_BYTES + header.length as usize;
        if !header.is_plausible() || !self.fill(fragment_bytes)? {
            return Ok(None);
        }
        let payload = &self.buffer[self.start + FRAGMENT_HEADER_BYTES..self.start + fragment_bytes];
        self.current = fragment_bytes;
        Ok(header.is_valid(salt, payload).then_some((header, payload)))
    }

    /// Advances past the fragment that [`Self::next`] returned.
    pub fn consume(&mut self) {
        self.start += self.current;
        self.offset += self.current as u64;
        self.current = 0;
    }

    /// Reads until `count` bytes are buffered; returns false if the file ends before.
    fn fill(&mut self, count: usize) -> io::Result<bool> {
        if self.offset + count as u64 > self.file_bytes {
            return Ok(false);
        }
        let buffered = self.buffer.len() - self.start;
        if buffered >= count {
            return Ok(true);
        }
        self.buffer.drain(..self.start);
        self.start = 0;
        let rest = self.file_bytes - self.offset;
        let wanted = usize::try_from(rest).unwrap_or(usize::MAX).min(count.max(READ_BYTES));
        self.buffer.resize(wanted, 0);
        let read =
            self.storage.read_at(self.file, &mut self.buffer[buffered..], self.offset + buffered as u64)?;
        self.buffer.truncate(buffered + read);
        Ok(self.buffer.len() >= count)
    }
}
