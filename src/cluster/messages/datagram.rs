use {
    crate::cluster::*,
    bincode::{Decode, Encode},
    displaydoc::Display,
};

/// The version of the messages.
pub const DATAGRAM_VERSION: u8 = 7;
/// The oldest version that is understood and spoken, too: that of the landing before the
/// last one. Daemons that don't hear each other stand before the same upstreams as two
/// systems, each of which lets in what a quota allows.
pub const OLDEST_DATAGRAM_VERSION: u8 = 6;
/// What stands at the end of messages of [`DATAGRAM_VERSION`] and is missing in older ones:
/// that a request is placed by its prompt.
const MISSING_IN_OLDEST: u8 = 0;
/// The largest datagram, in bytes: one packet, not split on its way.
pub const MAX_DATAGRAM_BYTES: usize = 1_400;
/// How much of a datagram a list that is sent in parts may take, in bytes.
const MAX_PART_BYTES: usize = 1_150;
/// How much memory a datagram may claim when it is decoded, in bytes: lists take
/// more there than on their way.
pub(in crate::cluster) const MAX_DECODED_BYTES: usize = 16 * MAX_DATAGRAM_BYTES;

/// Why bytes are no datagram.
#[derive(Debug, Display, thiserror::Error)]
pub enum DatagramError {
    /// not a datagram of ours: {0}
    Malformed(String),
    /// a datagram of version {0}
    OtherVersion(u8),
    /// {0} bytes are too many for a datagram
    TooLarge(usize),
}

/// What daemons tell each other in datagrams. What is lost is told again.
#[derive(Clone, Debug, PartialEq, Encode, Decode)]
pub enum Datagram {
    /// A hub tells of itself.
    Digest(Digest),
    /// A hub tells what was let in of client accounts' quotas.
    Quotas(QuotasPart),
    /// A daemon tells what it has at upstreams.
    Loads(LoadsPart),
    /// A daemon reports to a hub of its failure domain.
    Report(Report),
    /// A daemon asks a hub to let a request in and to place it.
    AdmissionQuery(AdmissionQuery),
    /// A hub answers.
    Answer(Answer),
    /// A daemon tells the holder of the duties what began to run there.
    Usage(UsagePart),
    /// The holder has heard it.
    UsageAck(UsageAck),
    /// A daemon tells the leader of a roll-out how answers of both versions are.
    Versions(VersionsPart),
    /// A daemon tells of upstreams that ended under requests.
    Crashes(CrashesPart),
}

impl Datagram {
    /// Encodes the datagram.
    ///
    /// # Errors
    ///
    /// Returns [`DatagramError::TooLarge`] for more than [`MAX_DATAGRAM_BYTES`].
    pub fn encode(&self) -> Result<Vec<u8>, DatagramError> {
        let mut bytes = vec![DATAGRAM_VERSION];
        let config = bincode::config::standard();
        bincode::encode_into_std_write(self, &mut bytes, config)
            .map_err(|e| DatagramError::Malformed(e.to_string()))?;
        match bytes.len() {
            size if size > MAX_DATAGRAM_BYTES => Err(DatagramError::TooLarge(size)),
            _ => Ok(bytes),
        }
    }

    /// Decodes a datagram.
    ///
    /// # Errors
    ///
    /// Returns why the bytes are none.
    pub fn decode(bytes: &[u8]) -> Result<Self, DatagramError> {
        Self::decode_first(bytes).map(|(datagram, _)| datagram)
    }

    /// Encodes the datagram as builds of a version understand it; nothing, if they know of
    /// no such message.
    ///
    /// # Errors
    ///
    /// Returns [`DatagramError::TooLarge`] for more than [`MAX_DATAGRAM_BYTES`].
    pub fn encode_for(&self, version: u8) -> Result<Option<Vec<u8>>, DatagramError> {
        if version == OLDEST_DATAGRAM_VERSION && matches!(self, Self::Crashes(_)) {
            return Ok(None);
        }
        let mut bytes = self.encode()?;
        // What stands at the end of later messages is not looked at by earlier builds.
        bytes[0] = version;
        Ok(Some(bytes))
    }

    /// Decodes a datagram; returns what stands behind it, too.
    ///
    /// # Errors
    ///
    /// Returns why the bytes are none.
    pub(in crate::cluster) fn decode_first(bytes: &[u8]) -> Result<(Self, &[u8]), DatagramError> {
        match bytes {
            [DATAGRAM_VERSION, body @ ..] => {
                let (datagram, length) = Self::decode_body(body)?;
                Ok((datagram, &body[length..]))
            }
            [OLDEST_DATAGRAM_VERSION, body @ ..] => {
                let body = [body, &[MISSING_IN_OLDEST]].concat();
                Ok((Self::decode_body(&body)?.0, &[]))
            }
            [other, ..] => Err(DatagramError::OtherVersion(*other)),
            [] => Err(DatagramError::Malformed("empty".into())),
        }
    }

    /// Decodes a datagram behind its version; returns how long it is, too.
    fn decode_body(body: &[u8]) -> Result<(Self, usize), DatagramError> {
        let config = bincode::config::standard().with_limit::<MAX_DECODED_BYTES>();
        let decoded = bincode::decode_from_slice(body, config);
        decoded.map_err(|e| DatagramError::Malformed(e.to_string()))
    }
}

/// Splits a list into parts that fit into a datagram each; one part at least.
///
/// # Panics
///
/// Doesn't: an item that can't be encoded counts as one that fills a part.
pub fn split_into_parts<T: Encode>(items: Vec<T>) -> Vec<Vec<T>> {
    let mut parts = vec![Vec::new()];
    let mut size = 0;
    for item in items {
        let encoded = bincode::encode_to_vec(&item, bincode::config::standard());
        let item_size = encoded.map_or(MAX_PART_BYTES, |bytes| bytes.len());
        if size + item_size > MAX_PART_BYTES && size > 0 {
            parts.push(Vec::new());
            size = 0;
        }
        size += item_size;
        if let Some(last) = parts.last_mut() {
            last.push(item);
        }
    }
    parts
}
