use {
    crate::cluster::*,
    bincode::{Decode, Encode},
    displaydoc::Display,
};

/// The version in which this build writes its messages.
pub const DATAGRAM_VERSION: u8 = 7;
/// The oldest version that this build reads and writes: that of the release before the last one.
/// Daemons that can't read each other's messages act as two separate systems in front of the same
/// upstreams, and each of these systems admits as many requests as a quota allows.
pub const OLDEST_DATAGRAM_VERSION: u8 = 6;
/// The encoding of the last field of admission queries, `isolation_key`, with no value. Messages of
/// [`OLDEST_DATAGRAM_VERSION`] end before this field; their requests are placed by the prompt.
const NO_ISOLATION_KEY: u8 = 0;
/// The maximum size of a datagram, in bytes. It fits into one IP packet without fragmentation.
pub const MAX_DATAGRAM_BYTES: usize = 1_400;
/// The maximum encoded size of a list that is sent in parts, per datagram, in bytes.
const MAX_PART_BYTES: usize = 1_150;
/// The maximum memory that decoding a datagram may claim, in bytes. Lists take more memory decoded
/// than encoded.
pub(in crate::cluster) const MAX_DECODED_BYTES: usize = 16 * MAX_DATAGRAM_BYTES;

/// A datagram that can't be encoded or decoded.
#[derive(Debug, Display, thiserror::Error)]
pub enum DatagramError {
    /// malformed datagram: {0}
    Malformed(String),
    /// unsupported datagram version {0}
    OtherVersion(u8),
    /// datagram of {0} bytes exceeds the maximum size
    TooLarge(usize),
}

/// The messages that daemons send each other in datagrams. Each is repeated or superseded later, so
/// that a lost datagram does no lasting harm.
#[derive(Clone, Debug, PartialEq, Encode, Decode)]
pub enum Datagram {
    /// A hub announces its state.
    Digest(Digest),
    /// A hub announces the state of client accounts' quotas.
    Quotas(QuotasPart),
    /// A daemon announces the requests that it has at upstreams.
    Loads(LoadsPart),
    /// A daemon reports to a hub of its failure domain.
    Report(Report),
    /// A daemon queries a hub to admit and place a request.
    AdmissionQuery(AdmissionQuery),
    /// A hub answers an admission query.
    Answer(Answer),
    /// A daemon announces its usage counts to the holder of the duties.
    Usage(UsagePart),
    /// The receiver acknowledges usage counts.
    UsageAck(UsageAck),
    /// A daemon announces its answer counts of both versions to the leader of a rollout.
    Versions(VersionsPart),
    /// A daemon announces upstreams that crashed while they ran requests.
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
    /// Returns an error if the bytes are malformed or of an unsupported version.
    pub fn decode(bytes: &[u8]) -> Result<Self, DatagramError> {
        Self::decode_prefix(bytes).map(|(datagram, _)| datagram)
    }

    /// Encodes the datagram for builds that use a version; none if that version has no such
    /// message.
    ///
    /// # Errors
    ///
    /// Returns [`DatagramError::TooLarge`] for more than [`MAX_DATAGRAM_BYTES`].
    pub fn encode_for(&self, version: u8) -> Result<Option<Vec<u8>>, DatagramError> {
        if version == OLDEST_DATAGRAM_VERSION && matches!(self, Self::Crashes(_)) {
            return Ok(None);
        }
        let mut bytes = self.encode()?;
        // Earlier builds ignore the bytes behind the fields that they know.
        bytes[0] = version;
        Ok(Some(bytes))
    }

    /// Decodes a datagram; returns the bytes behind it, too.
    ///
    /// # Errors
    ///
    /// Returns an error if the bytes are malformed or of an unsupported version.
    pub(in crate::cluster) fn decode_prefix(bytes: &[u8]) -> Result<(Self, &[u8]), DatagramError> {
        match bytes {
            [DATAGRAM_VERSION, body @ ..] => {
                let (datagram, length) = Self::decode_body(body)?;
                Ok((datagram, &body[length..]))
            }
            [OLDEST_DATAGRAM_VERSION, body @ ..] => {
                let body = [body, &[NO_ISOLATION_KEY]].concat();
                Ok((Self::decode_body(&body)?.0, &[]))
            }
            [other, ..] => Err(DatagramError::OtherVersion(*other)),
            [] => Err(DatagramError::Malformed("empty".into())),
        }
    }

    /// Decodes a datagram without its version byte; returns its length in bytes, too.
    fn decode_body(body: &[u8]) -> Result<(Self, usize), DatagramError> {
        let config = bincode::config::standard().with_limit::<MAX_DECODED_BYTES>();
        let decoded = bincode::decode_from_slice(body, config);
        decoded.map_err(|e| DatagramError::Malformed(e.to_string()))
    }
}

/// Splits a list into parts that fit into one datagram each. Returns at least one part.
///
/// # Panics
///
/// Never: an item that can't be encoded counts as one that fills a part.
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
