/// Says how a call to another daemon failed.
#[derive(Debug, displaydoc::Display, thiserror::Error)]
pub enum PeerError {
    /// no connection: {0}
    NotConnected(String),
    /// cut off: {0}
    Broken(String),
    /// no answer in time
    Timeout,
    /// a message of {0} bytes is over the bound
    TooLarge(usize),
    /// a message that can't be decoded: {0}
    Malformed(String),
    /// the other daemon speaks another version, or refused: status {0}
    Refused(u16),
    /// TLS: {0}
    Tls(String),
}

impl From<h2::Error> for PeerError {
    fn from(e: h2::Error) -> Self {
        Self::Broken(e.to_string())
    }
}

impl From<std::io::Error> for PeerError {
    fn from(e: std::io::Error) -> Self {
        Self::NotConnected(e.to_string())
    }
}
