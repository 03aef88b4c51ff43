use {
    displaydoc::Display,
    http::{HeaderMap, header, response::Parts},
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
}

impl HeadFault {
    /// Returns what is wrong with the head of an answer, if anything is.
    pub fn find(head: &Parts) -> Option<Self> {
        match head.status.as_u16() {
            200..=599 => unknown_coding(&head.headers).map(Self::TransferCoding),
            // Interim answers are read by the HTTP library, but for 101: nobody asks for another protocol.
            other => Some(Self::Status(other)),
        }
    }

    /// Returns the name of the fault for metrics.
    pub fn kind(&self) -> &'static str {
        match self {
            Self::Status(_) => "status",
            Self::TransferCoding(_) => "transfer-coding",
        }
    }
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
