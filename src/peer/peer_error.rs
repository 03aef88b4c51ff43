/// The failure of a call to another daemon, or of a call that another daemon makes.
#[derive(Debug, displaydoc::Display, thiserror::Error)]
pub enum PeerError {
    /// failed to connect: {0}
    NotConnected(String),
    /// connection or stream closed early: {0}
    Broken(String),
    /// no response within the timeout
    Timeout,
    /// message of {0} bytes exceeds the size limit
    TooLarge(usize),
    /// malformed message: {0}
    Malformed(String),
    /// call refused with status {0}; 404 means another protocol version
    Refused(u16),
    /// TLS failed: {0}
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
