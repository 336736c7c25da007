//! Incremental parsing of `text/event-stream` bodies (WHATWG HTML, server-sent events).

/// An event of a `text/event-stream`.
#[derive(Clone, PartialEq, Eq, Default, Debug)]
pub struct StreamEvent {
    /// The event's id, if it has one that is a decimal number.
    pub id: Option<u64>,
    /// The version of the weights that applies from this event on, if the event states one.
    pub weight_version: Option<u64>,
    /// The event's data lines, joined by line feeds.
    pub data: Vec<u8>,
    /// Whether the event has a data line, possibly an empty one.
    pub has_data: bool,
}

/// Parses events out of the bytes of a body.
#[derive(Default, Debug)]
pub struct EventStreamReader {
    /// The bytes of an event that is still incomplete.
    partial: Vec<u8>,
}

impl EventStreamReader {
    /// Parses the next bytes of the body and calls `on_event` with each event that is now complete and its raw bytes.
    pub fn read(&mut self, bytes: &[u8], mut on_event: impl FnMut(StreamEvent, &[u8])) {
        self.partial.extend_from_slice(bytes);
        let mut start = 0;
        while let Some(length) = event_length(&self.partial[start..]) {
            let raw = &self.partial[start..start + length];
            let event = parse_event(raw);
            if event.has_data || event.id.is_some() || event.weight_version.is_some() {
                on_event(event, raw);
            }
            start += length;
        }
        self.partial.drain(..start);
    }

    /// Whether the bytes read so far end within an event.
    pub fn has_partial_event(&self) -> bool {
        !self.partial.iter().all(|b| matches!(b, b'\r' | b'\n'))
    }
}

/// Tracks event boundaries in a `text/event-stream` that is forwarded without being parsed.
#[derive(Default, Debug)]
pub struct EventStreamBoundary {
    /// Whether the current line has any byte other than its terminator.
    in_line: bool,
    /// Whether an event has started and no empty line has ended it yet.
    in_event: bool,
}

impl EventStreamBoundary {
    /// Scans the next bytes of the body.
    pub fn read(&mut self, bytes: &[u8]) {
        for byte in bytes {
            match byte {
                b'\n' => {
                    self.in_event &= self.in_line;
                    self.in_line = false;
                }
                b'\r' => {}
                _ => (self.in_line, self.in_event) = (true, true),
            }
        }
    }

    /// Whether the bytes read so far end within an event.
    pub fn is_inside_event(&self) -> bool {
        self.in_event
    }
}

/// Returns the length of the first event including the empty line that ends it, or `None` if it is incomplete.
fn event_length(bytes: &[u8]) -> Option<usize> {
    let mut line_start = 0;
    while let Some(offset) = bytes[line_start..].iter().position(|b| *b == b'\n') {
        let line = &bytes[line_start..line_start + offset];
        line_start += offset + 1;
        if line.is_empty() || line == b"\r" {
            return Some(line_start);
        }
    }
    None
}

fn parse_event(raw: &[u8]) -> StreamEvent {
    let mut event = StreamEvent::default();
    for line in raw.split(|b| *b == b'\n') {
        let line = line.strip_suffix(b"\r").unwrap_or(line);
        let Some(colon) = line.iter().position(|b| *b == b':') else { continue };
        let value = &line[colon + 1..];
        let value = value.strip_prefix(b" ").unwrap_or(value);
        match &line[..colon] {
            b"id" => event.id = parse_number(value),
            b"weight-versions" => event.weight_version = parse_number(value),
            b"data" => {
                if event.has_data {
                    event.data.push(b'\n');
                }
                event.has_data = true;
                event.data.extend_from_slice(value);
            }
            _ => {}
        }
    }
    event
}

fn parse_number(bytes: &[u8]) -> Option<u64> {
    std::str::from_utf8(bytes).ok()?.trim().parse().ok()
}
