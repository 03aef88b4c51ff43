use {
    crate::{
        cluster::MAX_DECODED_BYTES,
        policy::{AnnouncedOrigin, AttemptKey, StreamOrigin},
    },
    bincode::{Decode, Encode, config, decode_from_slice, error::DecodeError},
    std::collections::BTreeMap,
};

/// Maximum number of attempts in one part, with which it fits into one datagram.
const MAX_ATTEMPTS: usize = 100;

/// Streams that one software version of a service began, as a daemon announces them and writes them to
/// the shared log. Repeated parts have no effect.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode)]
pub struct OriginsPart {
    /// The service.
    pub service: String,
    /// The version.
    pub version: String,
    /// How long the streams may still be taken up, in milliseconds.
    pub left_ms: u32,
    /// True if the receiver is to write them to the shared log.
    pub is_to_log: bool,
    /// The hashes of the ids of the attempts that brought the first events.
    pub attempts: Vec<u64>,
}

impl OriginsPart {
    /// Groups origins by service and version, in parts that fit into one datagram each.
    pub fn group(origins: &[AnnouncedOrigin], is_to_log: bool) -> Vec<Self> {
        let mut groups: BTreeMap<&StreamOrigin, Vec<&AnnouncedOrigin>> = BTreeMap::new();
        for announced in origins {
            groups.entry(&announced.origin).or_default().push(announced);
        }
        let chunks = groups.into_iter().flat_map(|(origin, group)| {
            let chunks: Vec<_> = group.chunks(MAX_ATTEMPTS).map(<[_]>::to_vec).collect();
            chunks.into_iter().map(move |chunk| (origin, chunk))
        });
        let parts = chunks.map(|(origin, chunk)| {
            let left_ms = chunk.iter().map(|a| a.left_ms).max().unwrap_or(0);
            Self {
                service: origin.service.to_string(),
                version: origin.version.to_string(),
                left_ms: u32::try_from(left_ms).unwrap_or(u32::MAX),
                is_to_log,
                attempts: chunk.iter().map(|a| a.key.0).collect(),
            }
        });
        parts.collect()
    }

    /// Decodes a record of the shared log.
    ///
    /// # Errors
    ///
    /// Returns an error if another writer stored something else.
    pub fn decode(record: &[u8]) -> Result<Self, DecodeError> {
        // Without a limit, a declared length beyond the available memory would abort the process.
        let limited = config::standard().with_limit::<MAX_DECODED_BYTES>();
        decode_from_slice(record, limited).map(|(part, _)| part)
    }

    /// Returns the origin that all streams of this part have.
    pub fn origin(&self) -> StreamOrigin {
        StreamOrigin {
            service: self.service.as_str().into(),
            version: self.version.as_str().into(),
        }
    }

    /// Returns the attempts that began the streams.
    pub fn keys(&self) -> impl Iterator<Item = AttemptKey> {
        self.attempts.iter().copied().map(AttemptKey)
    }
}
