use {
    crate::{
        names::{BoxId, ClientAccount, UpstreamId},
        policy::{QuotaNotice, ReadingSpeed, TenantCounts},
    },
    bincode::{Decode, Encode},
    displaydoc::Display,
    std::net::SocketAddr,
};

/// The version of the message; one of another version is not understood.
const DIGEST_VERSION: u8 = 3;
/// The largest digest, in bytes: one datagram, not split.
pub const MAX_DIGEST_BYTES: usize = 1_400;

/// How much memory a digest may claim when it is decoded, in bytes: lists take
/// more there than in a datagram.
const MAX_DECODED_BYTES: usize = 16 * MAX_DIGEST_BYTES;
/// How many other daemons a digest names.
pub const MAX_DIGEST_PEERS: usize = 16;

/// Why a datagram is no digest.
#[derive(Debug, Display, thiserror::Error)]
pub enum DigestError {
    /// not a digest: {0}
    Malformed(String),
    /// a digest of version {0}
    OtherVersion(u8),
}

/// What a daemon tells the others some times a second.
#[derive(Clone, Debug, PartialEq, Encode, Decode)]
pub struct Digest {
    version: u8,
    /// The daemon.
    pub node: String,
    /// Its failure domain.
    pub zone: String,
    /// Which life of it.
    pub incarnation: u64,
    /// Rises with each digest of a life.
    pub sequence: u64,
    /// Where it listens for other daemons.
    pub address: SocketAddr,
    /// The configuration that it has in force; 0 for none.
    pub config_version: u64,
    /// How long ago its source of configuration answered, in milliseconds.
    pub source_age_ms: u64,
    /// Whether it tries to reach the source and can't.
    pub cut_from_source: bool,
    /// Whether it holds the duties.
    pub holds_duties: bool,
    /// By tenant, the weight with which it asks for a part of the quota, what
    /// it has let in and what it sees left.
    pub quotas: Vec<(String, f32, f64, f32)>,
    /// Requests that began there, by window and tenant.
    pub usage: Vec<(u64, Vec<(String, u32)>)>,
    /// Requests and waiting prompt tokens that it has at upstreams.
    pub loads: Vec<(String, u32, u32)>,
    /// By service, the work that it was offered, a second.
    pub demand: Vec<(String, f32)>,
    /// By service, how long its engines take to read a prompt token, in
    /// milliseconds, and on how many comparisons that rests.
    pub reading: Vec<(String, f32, u32)>,
    /// Other daemons that it knows.
    pub peers: Vec<SocketAddr>,
}

impl Digest {
    /// Starts a digest that tells nothing but who sends it.
    pub fn new(node: &BoxId, incarnation: u64, sequence: u64, address: SocketAddr) -> Self {
        Self {
            version: DIGEST_VERSION,
            node: node.to_string(),
            zone: String::new(),
            incarnation,
            sequence,
            address,
            config_version: 0,
            source_age_ms: u64::MAX,
            cut_from_source: false,
            holds_duties: false,
            quotas: Vec::new(),
            usage: Vec::new(),
            loads: Vec::new(),
            demand: Vec::new(),
            reading: Vec::new(),
            peers: Vec::new(),
        }
    }

    /// Encodes the digest. What doesn't fit into a datagram is left out, the
    /// least needed first: other daemons, then the smallest loads.
    ///
    /// # Errors
    ///
    /// Returns [`DigestError::Malformed`] if it is too large even so.
    pub fn encode(mut self) -> Result<Vec<u8>, DigestError> {
        self.peers.truncate(MAX_DIGEST_PEERS);
        self.loads
            .sort_by_key(|(_, active, tokens)| std::cmp::Reverse((*tokens, *active)));
        loop {
            let bytes = bincode::encode_to_vec(&self, bincode::config::standard());
            let bytes = bytes.map_err(|e| DigestError::Malformed(e.to_string()))?;
            if bytes.len() <= MAX_DIGEST_BYTES {
                return Ok(bytes);
            }
            let fewer_loads = self.loads.len() / 2;
            self.loads.truncate(fewer_loads);
            if self.loads.is_empty() && self.usage.pop().is_none() {
                return Err(DigestError::Malformed(format!("{} bytes", bytes.len())));
            }
        }
    }

    /// Decodes a digest.
    ///
    /// # Errors
    ///
    /// Returns why the bytes are none.
    pub fn decode(bytes: &[u8]) -> Result<Self, DigestError> {
        match bytes.first() {
            Some(&DIGEST_VERSION) => {}
            Some(other) => return Err(DigestError::OtherVersion(*other)),
            None => return Err(DigestError::Malformed("empty".into())),
        }
        let config = bincode::config::standard().with_limit::<MAX_DECODED_BYTES>();
        let decoded = bincode::decode_from_slice(bytes, config);
        let (digest, _) = decoded.map_err(|e| DigestError::Malformed(e.to_string()))?;
        Ok(digest)
    }

    /// Returns what it tells about quotas, typed.
    pub fn quota_notices(&self) -> Vec<QuotaNotice> {
        let quotas = self.quotas.iter();
        let typed = quotas.map(|(tenant, weight, admitted, level)| QuotaNotice {
            tenant: ClientAccount::from(tenant.as_str()),
            weight: f64::from(*weight),
            admitted: *admitted,
            level: f64::from(*level),
        });
        typed.collect()
    }

    /// Returns the usage with typed names.
    pub fn usage_counts(&self) -> Vec<(u64, TenantCounts)> {
        let typed = |counts: &Vec<(String, u32)>| {
            let counts = counts.iter();
            counts
                .map(|(t, n)| (ClientAccount::from(t.as_str()), u64::from(*n)))
                .collect()
        };
        self.usage
            .iter()
            .map(|(w, counts)| (*w, typed(counts)))
            .collect()
    }

    /// Returns what it tells of how fast a service's engines read.
    pub fn reading_speed(&self, service: &str) -> Option<ReadingSpeed> {
        let told = self.reading.iter().find(|(name, ..)| name == service);
        let speed = told.map(|(_, ms_per_token, comparisons)| ReadingSpeed {
            ms_per_token: f64::from(*ms_per_token),
            comparisons: *comparisons,
        });
        speed.filter(|s| s.ms_per_token > 0.0 && s.ms_per_token.is_finite())
    }

    /// Returns an upstream's name and figures, typed.
    pub fn typed_loads(&self) -> impl Iterator<Item = (UpstreamId, u32, u32)> + '_ {
        self.loads
            .iter()
            .map(|(id, active, tokens)| (UpstreamId::from(id.as_str()), *active, *tokens))
    }
}
