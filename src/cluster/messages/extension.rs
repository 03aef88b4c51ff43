use {
    crate::cluster::{CooldownsPart, LeavingPart, LimitsPart, PermitAnswer, PermitQuery},
    bincode::{
        Decode, Encode, config, decode_from_slice, encode_into_std_write, error::EncodeError,
    },
};

/// How much beside the messages this build knows: it rises with what is added.
pub const EXTENSION_LEVEL: u8 = 2;
/// From which level on a daemon knows of limits that upstreams name.
pub const LIMITS_LEVEL: u8 = 1;
/// From which level on a daemon tells changes of its directory without words that only say
/// that an upstream lives.
pub const UPDATES_LEVEL: u8 = 2;
/// How many bytes stand before an extension: its kind, and its length in two.
const HEAD_BYTES: usize = 3;

const LEVEL: u8 = 1;
const LIMITS: u8 = 2;
const PERMIT_ASK: u8 = 3;
const PERMIT_ANSWER: u8 = 4;
const HAS_PERMIT: u8 = 5;
const LEAVING: u8 = 6;
const RESTS: u8 = 7;

/// What stands behind a datagram's message, each with its kind and length: builds that
/// don't know a kind pass over it, and builds that know of no extensions don't look behind
/// the message. New kinds are added, none is changed; a kind's own fields may only grow at
/// their end.
#[derive(Clone, Debug, PartialEq)]
pub enum Extension {
    /// Up to which kind the sender knows all: [`EXTENSION_LEVEL`] of its build.
    Level(u8),
    /// The sender tells of limits that upstreams name.
    Limits(LimitsPart),
    /// The sender asks for a permit.
    PermitQuery(PermitQuery),
    /// The sender answers such a question.
    PermitAnswer(PermitAnswer),
    /// The placement in the message has a permit, where its upstream names a limit.
    HasPermit,
    /// The sender tells of upstreams whose answers said that they leave.
    Leaving(LeavingPart),
    /// Upstreams that want nothing from the sender, behind a report.
    Cooldowns(CooldownsPart),
}

impl Extension {
    /// Appends the extension.
    ///
    /// # Errors
    ///
    /// Returns why it can't be encoded.
    pub(in crate::cluster) fn encode(&self, bytes: &mut Vec<u8>) -> Result<(), EncodeError> {
        match self {
            Self::Level(level) => append(bytes, LEVEL, level),
            Self::Limits(part) => append(bytes, LIMITS, part),
            Self::PermitQuery(query) => append(bytes, PERMIT_ASK, query),
            Self::PermitAnswer(answer) => append(bytes, PERMIT_ANSWER, answer),
            Self::HasPermit => append(bytes, HAS_PERMIT, &()),
            Self::Leaving(part) => append(bytes, LEAVING, part),
            Self::Cooldowns(part) => append(bytes, RESTS, part),
        }
    }

    /// Reads all extensions that this build knows; what is none, and what can't be read, is
    /// passed over.
    pub(in crate::cluster) fn decode_all(mut bytes: &[u8]) -> Vec<Self> {
        let mut extensions = Vec::new();
        while let [kind, low, high, rest @ ..] = bytes {
            let length = usize::from(u16::from_le_bytes([*low, *high]));
            let Some((body, rest)) = rest.split_at_checked(length) else {
                break;
            };
            extensions.extend(Self::decode(*kind, body));
            bytes = rest;
        }
        extensions
    }

    fn decode(kind: u8, body: &[u8]) -> Option<Self> {
        match kind {
            LEVEL => read(body).map(Self::Level),
            LIMITS => read(body).map(Self::Limits),
            PERMIT_ASK => read(body).map(Self::PermitQuery),
            PERMIT_ANSWER => read(body).map(Self::PermitAnswer),
            HAS_PERMIT => Some(Self::HasPermit),
            LEAVING => read(body).map(Self::Leaving),
            RESTS => read(body).map(Self::Cooldowns),
            _ => None,
        }
    }
}

fn append(bytes: &mut Vec<u8>, kind: u8, body: &impl Encode) -> Result<(), EncodeError> {
    let start = bytes.len();
    bytes.extend([kind, 0, 0]);
    encode_into_std_write(body, bytes, config::standard())?;
    let length = bytes.len() - start - HEAD_BYTES;
    let length = u16::try_from(length).map_err(|_| EncodeError::Other("too long"))?;
    bytes[start + 1..start + HEAD_BYTES].copy_from_slice(&length.to_le_bytes());
    Ok(())
}

/// Reads a body; what stands behind it is of later builds.
fn read<T: Decode<()>>(body: &[u8]) -> Option<T> {
    let limited = config::standard().with_limit::<{ crate::cluster::MAX_DECODED_BYTES }>();
    decode_from_slice(body, limited).ok().map(|(read, _)| read)
}
