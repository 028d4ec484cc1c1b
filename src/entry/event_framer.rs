//! Splits a stream of server-sent events into whole events.

use std::sync::Arc;

use bytes::{Bytes, BytesMut};

use crate::entry::{BufferBudget, buffer_budget::BufferLease};

/// Largest event that is buffered, in bytes. The largest event in the users' specifications has 870 bytes.
const MAX_EVENT_BYTES: usize = 1 << 20;

/// A whole event, with its bytes as received.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(crate) struct StreamEvent {
    pub(crate) bytes: Bytes,
    pub(crate) id: Option<String>,
    /// Values of the event's `data` lines, joined by line feeds; `None` for an event without such lines.
    pub(crate) data: Option<Bytes>,
}

/// Buffers bytes until an event is whole, so that a client never receives part of an event.
#[derive(Debug, Default)]
pub(crate) struct EventFramer {
    buffer: BytesMut,
    /// Counts the buffer against the host's memory; `None` if that is not limited.
    lease: Option<BufferLease>,
    /// Whether the host had no room for all that was pushed.
    is_over_budget: bool,
    /// Length of the buffer's prefix that has been searched and holds no end of an event.
    scanned_bytes: usize,
}

impl EventFramer {
    /// Creates a framer whose buffer counts against a budget.
    pub(crate) fn new(budget: &Arc<BufferBudget>) -> Self {
        Self { lease: Some(budget.lease()), ..Self::default() }
    }

    pub(crate) fn push(&mut self, bytes: &[u8]) {
        let size = self.buffer.len() + bytes.len();
        let is_counted = self.lease.as_mut().is_none_or(|it| it.resize(size).is_ok());

        if is_counted {
            self.buffer.extend_from_slice(bytes);
        } else {
            self.is_over_budget = true;
        }
    }

    /// Whether the buffer holds the beginning of an event. Call it once [`EventFramer::next_event`] returns `None`.
    pub(crate) fn has_partial_event(&self) -> bool {
        !self.buffer.is_empty()
    }

    /// Whether the buffered bytes exceed the largest size of an event, or the host had no room for them. The stream can't go
    /// on then.
    pub(crate) fn is_event_too_long(&self) -> bool {
        self.is_over_budget || self.buffer.len() > MAX_EVENT_BYTES
    }

    /// Removes and returns the next whole event.
    pub(crate) fn next_event(&mut self) -> Option<StreamEvent> {
        let end = self.find_event_end()?;
        self.scanned_bytes = 0;
        let bytes = self.buffer.split_to(end).freeze();
        Some(parse_event(bytes))
    }

    /// Returns the end of the first whole event, which is after the empty line that closes it.
    fn find_event_end(&mut self) -> Option<usize> {
        // A line feed and the empty line after it are up to three bytes and may arrive in separate chunks.
        let from = self.scanned_bytes.saturating_sub(3);

        for index in from..self.buffer.len() {
            if self.buffer[index] != b'\n' {
                continue;
            }
            let rest = &self.buffer[index + 1..];
            if rest.first() == Some(&b'\n') {
                return Some(index + 2);
            }
            if rest.starts_with(b"\r\n") {
                return Some(index + 3);
            }
        }

        self.scanned_bytes = self.buffer.len();
        None
    }
}

fn parse_event(bytes: Bytes) -> StreamEvent {
    let mut id = None;
    let mut data: Option<BytesMut> = None;

    for line in bytes.split(|byte| *byte == b'\n') {
        let line = line.strip_suffix(b"\r").unwrap_or(line);
        let (name, value) = match line.iter().position(|byte| *byte == b':') {
            Some(colon) => (&line[..colon], &line[colon + 1..]),
            None => (line, &[][..]),
        };
        let value = value.strip_prefix(b" ").unwrap_or(value);

        match name {
            b"id" => id = std::str::from_utf8(value).ok().map(str::to_owned),
            b"data" => match &mut data {
                Some(data) => {
                    data.extend_from_slice(b"\n");
                    data.extend_from_slice(value);
                }
                None => data = Some(BytesMut::from(value)),
            },
            _ => (),
        }
    }

    StreamEvent { bytes, id, data: data.map(BytesMut::freeze) }
}
