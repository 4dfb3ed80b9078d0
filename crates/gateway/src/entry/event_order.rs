//! Checks that what an upstream sends in a stream are events, and that they continue those that the caller has.

use compact_str::CompactString;

const BYTE_ORDER_MARK: &[u8] = b"\xef\xbb\xbf";

/// Position in a stream that may have been produced by several upstreams in turn.
#[derive(Debug, Default)]
pub(crate) struct EventOrder {
    last_id: Option<CompactString>,
    /// Highest id of the events so far, if ids are numbers.
    highest: Option<u64>,
    /// The current upstream continues the stream of another one.
    is_resumed: bool,
    /// The current upstream has sent an event.
    has_run_events: bool,
    /// Why the rest of the current upstream's stream is not passed on.
    fault: Option<&'static str>,
}

/// Fields of an event that has not ended yet.
#[derive(Default)]
struct EventFields<'a> {
    has_fields: bool,
    has_standard_field: bool,
    has_invalid_line: bool,
    id: Option<&'a [u8]>,
}

impl<'a> EventFields<'a> {
    fn add(&mut self, line: &'a [u8]) {
        let line = line.strip_prefix(BYTE_ORDER_MARK).unwrap_or(line);
        if line.is_empty() || line.starts_with(b":") {
            return;
        }
        self.has_fields = true;
        let colon = line.iter().position(|byte| *byte == b':');
        let name = &line[..colon.unwrap_or(line.len())];
        match name {
            b"id" => self.id = Some(colon.map_or(&b""[..], |at| &line[at + 1..])),
            b"data" | b"event" | b"retry" => {}
            // A field that the standard does not define, such as one with the version of the weights.
            _ => {
                self.has_invalid_line |= colon.is_none() || !is_field_name(name);
                return;
            }
        }
        self.has_standard_field = true;
    }
}

/// True for lower-case names, unlike the first line of a response and other text.
fn is_field_name(name: &[u8]) -> bool {
    let is_allowed =
        |byte: &u8| byte.is_ascii_lowercase() || byte.is_ascii_digit() || b"-_".contains(byte);
    !name.is_empty() && name.iter().all(is_allowed)
}

impl EventOrder {
    /// Position of a stream that its caller resumes after the event `last_id`. The events must follow that one if
    /// `is_resumable`; other upstreams may start again.
    pub(crate) fn new(last_id: Option<CompactString>, is_resumable: bool) -> Self {
        let highest = last_id.as_ref().filter(|_| is_resumable).and_then(|id| id.parse().ok());
        Self { last_id, highest, ..Self::default() }
    }

    /// Id of the last event; `None` if there is no event or that one has no id.
    pub(crate) fn last_id(&self) -> Option<&CompactString> {
        self.last_id.as_ref()
    }

    /// Why no more events of the current upstream may be passed on; `None` if they may.
    pub(crate) fn fault(&self) -> Option<&'static str> {
        self.fault
    }

    /// Starts to check the events of the next upstream.
    pub(crate) fn begin_run(&mut self) {
        self.is_resumed = self.last_id.is_some();
        (self.has_run_events, self.fault) = (false, None);
    }

    /// Checks complete events and the comments between them. Returns the number of bytes that may be passed on; none
    /// after a [`fault`](Self::fault).
    pub(crate) fn accept(&mut self, bytes: &[u8]) -> usize {
        let mut fields = EventFields::default();
        let (mut accepted, mut position) = (0, 0);
        while position < bytes.len() && self.fault.is_none() {
            let rest = &bytes[position..];
            let length = rest.iter().position(|byte| b"\r\n".contains(byte)).unwrap_or(rest.len());
            let (line, line_end) = rest.split_at(length);
            position += length
                + match line_end {
                    [b'\r', b'\n', ..] => 2,
                    [_, ..] => 1,
                    [] => 0,
                };
            fields.add(line);
            if line.is_empty() {
                self.fault = self.check_event(&std::mem::take(&mut fields));
                if self.fault.is_none() {
                    accepted = position;
                }
            }
        }
        accepted
    }

    fn check_event(&mut self, event: &EventFields<'_>) -> Option<&'static str> {
        if !event.has_fields {
            return None;
        }
        if event.has_invalid_line || !event.has_standard_field {
            return Some("not_an_event");
        }
        let id = event.id.and_then(|id| std::str::from_utf8(id).ok()).map(str::trim);
        let id = id.filter(|id| !id.is_empty());
        let number = id.and_then(|id| id.parse::<u64>().ok());
        if self.is_resumed && id.is_none() {
            return Some("event_without_id");
        }
        let is_repeated = match (number, self.highest) {
            (Some(number), Some(highest)) => number <= highest,
            _ => id.is_some() && id == self.last_id.as_deref(),
        };
        // The caller's position counts only where the upstream must continue it.
        if is_repeated && (self.highest.is_some() || self.has_run_events || self.is_resumed) {
            return Some("event_repeated");
        }
        self.highest = number.or(self.highest);
        self.last_id = id.map(CompactString::from);
        self.has_run_events = true;
        None
    }
}
