use {
    displaydoc::Display,
    http::{HeaderMap, Version, header, response::Parts},
};

/// Maximum number of bytes of a header value in a message.
const MAX_SHOWN_BYTES: usize = 48;

/// Why the head of an answer can't be right. Nothing that such a head says is to be believed.
#[derive(Clone, Debug, PartialEq, Eq, Display, thiserror::Error)]
pub enum HeadFault {
    /// the status {0} is none of a final answer
    Status(u16),
    /// the transfer coding of the body is unknown: "{0}"
    TransferCoding(String),
    /// the body has neither a length nor chunks, and the connection is not said to end behind it
    Unframed,
}

impl HeadFault {
    /// Returns what is wrong with the head of an answer, if anything is. `has_body` is false for answers that have
    /// none by their status or request.
    pub fn find(head: &Parts, has_body: bool) -> Option<Self> {
        let status = head.status.as_u16();
        // Interim answers are read by the HTTP library, but for 101: nobody asks for another protocol.
        if !(200..=599).contains(&status) {
            return Some(Self::Status(status));
        }
        if let Some(coding) = unknown_coding(&head.headers) {
            return Some(Self::TransferCoding(coding));
        }
        let is_unframed = has_body && has_no_framing(&head.headers) && !announces_end(head);
        is_unframed.then_some(Self::Unframed)
    }

    /// Returns the name of the fault for metrics.
    pub fn kind(&self) -> &'static str {
        match self {
            Self::Status(_) => "status",
            Self::TransferCoding(_) => "transfer-coding",
            Self::Unframed => "unframed",
        }
    }
}

/// Returns whether a body has neither a length nor chunks, by its headers. It lasts until the connection ends.
pub fn has_no_framing(headers: &HeaderMap) -> bool {
    !headers.contains_key(header::CONTENT_LENGTH)
        && !headers.contains_key(header::TRANSFER_ENCODING)
}

/// Returns whether an answer says that its connection ends behind it. One whose body lasts until then has to
/// (RFC 9112, 9.3 and 9.6).
pub fn announces_end(head: &Parts) -> bool {
    match head.version {
        Version::HTTP_10 => !has_connection_option(&head.headers, "keep-alive"),
        _ => has_connection_option(&head.headers, "close"),
    }
}

fn has_connection_option(headers: &HeaderMap, option: &str) -> bool {
    let lines = headers.get_all(header::CONNECTION);
    let lines = lines.iter().filter_map(|v| v.to_str().ok());
    let mut options = lines.flat_map(|line| line.split(','));
    options.any(|o| o.trim().eq_ignore_ascii_case(option))
}

/// Returns the transfer coding of a body unless it is `chunked` alone, the only one that is read here. A body in
/// another one lasts until the connection ends (RFC 9112, 6.3), and it is not the body that was meant.
fn unknown_coding(headers: &HeaderMap) -> Option<String> {
    let codings = headers.get_all(header::TRANSFER_ENCODING);
    let codings: Vec<&[u8]> = codings.iter().map(|v| v.as_bytes()).collect();
    match codings.as_slice() {
        [] => None,
        [coding] if coding.trim_ascii().eq_ignore_ascii_case(b"chunked") => None,
        codings => Some(shown(&codings.join(&b", "[..]))),
    }
}

/// Returns the beginning of a value without bytes that would spoil a log line.
fn shown(value: &[u8]) -> String {
    let beginning = &value[..value.len().min(MAX_SHOWN_BYTES)];
    beginning.escape_ascii().to_string()
}
