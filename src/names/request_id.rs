use {
    serde::{Deserialize, Serialize},
    std::{fmt, str::FromStr},
    uuid::Uuid,
};

/// The identifier of a request: a UUIDv7, which contains its time of creation in milliseconds.
///
/// A client's `Idempotency-Key` becomes the request's identifier; a request without one gets a
/// new identifier, with 74 random bits.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct RequestId(Uuid);

/// The reason why a text is not a request identifier.
#[derive(Debug, displaydoc::Display, thiserror::Error, PartialEq, Eq)]
pub enum RequestIdError {
    /// expected a UUID of version 7
    NotUuidV7,
}

impl RequestId {
    /// Creates an identifier with the current time.
    pub fn fresh() -> Self {
        Self(Uuid::now_v7())
    }

    /// Wraps a UUID without a check of its version, for tests and decoded messages.
    pub fn from_uuid(uuid: Uuid) -> Self {
        Self(uuid)
    }

    pub fn uuid(&self) -> Uuid {
        self.0
    }

    /// Returns the time of creation, in milliseconds since the Unix epoch; 0 if the UUID has none.
    pub fn unix_ms(&self) -> u64 {
        self.0.get_timestamp().map_or(0, |t| {
            let (s, ns) = t.to_unix();
            s * 1000 + u64::from(ns) / 1_000_000
        })
    }
}

impl FromStr for RequestId {
    type Err = RequestIdError;

    fn from_str(s: &str) -> Result<Self, RequestIdError> {
        match Uuid::parse_str(s) {
            Ok(uuid) if uuid.get_version_num() == 7 => Ok(Self(uuid)),
            _ => Err(RequestIdError::NotUuidV7),
        }
    }
}

impl fmt::Display for RequestId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
    }
}
