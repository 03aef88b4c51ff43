use {
    crate::cluster::{
        CooldownsPart, HeldPart, LeavingPart, LimitsPart, OriginAnswer, OriginQuery, OriginsPart,
        PartCrashesPart, PermitAnswer, PermitQuery, RequestUrgency, RoomsPart, SamplesPart,
        ScattersPart, SlotAnswer, SlotQuery, SlotReleases, SpeedsPart,
    },
    bincode::{
        Decode, Encode, config, decode_from_slice, encode_into_std_write, error::EncodeError,
    },
};

/// The extension level of this build. It increases with each addition to the extensions.
pub const EXTENSION_LEVEL: u8 = 8;
/// The level from which on a daemon supports limits that upstreams name.
pub const LIMITS_LEVEL: u8 = 1;
/// The level from which on a daemon sends the updates of its directory without entries that only
/// say that an upstream is still alive.
pub const UPDATES_LEVEL: u8 = 2;
/// The level from which on a daemon knows that offsets of the source count within an era only, and
/// names the era of those that it sends.
pub const ERAS_LEVEL: u8 = 3;
/// The level from which on a daemon passes requests of other daemons on to upstreams.
pub const RELAYS_LEVEL: u8 = 5;
/// The level from which on a daemon gives out slots of upstreams that bear few rejections.
pub const SLOTS_LEVEL: u8 = 5;
/// The level from which on a daemon keeps the software versions that began streams.
pub const ORIGINS_LEVEL: u8 = 6;
/// The size of the header of an extension: one byte for its kind, two for the length of its body.
const HEADER_BYTES: usize = 3;

const LEVEL: u8 = 1;
const LIMITS: u8 = 2;
const PERMIT_QUERY: u8 = 3;
const PERMIT_ANSWER: u8 = 4;
const HAS_PERMIT: u8 = 5;
const LEAVING: u8 = 6;
const COOLDOWNS: u8 = 7;
const RESTORED: u8 = 8;
const URGENCY: u8 = 9;
const SAMPLES: u8 = 10;
const SPEEDS: u8 = 11;
const ROOMS: u8 = 12;
const SCATTERS: u8 = 13;
const HELD: u8 = 14;
const SLOT_QUERY: u8 = 15;
const SLOT_ANSWER: u8 = 16;
const SLOT_RELEASES: u8 = 17;
const ONLY_VERSION: u8 = 18;
const ORIGINS: u8 = 19;
const ORIGIN_QUERY: u8 = 20;
const ORIGIN_ANSWER: u8 = 21;
const PART_CRASHES: u8 = 22;
const ALONE_VERSION: u8 = 23;

/// An addition behind the message of a datagram, with its kind and length. Builds that don't know a
/// kind skip it, and builds without extensions ignore the bytes behind the message. New kinds may
/// be added but none may be changed; new fields of a kind may only be added at its end.
#[derive(Clone, Debug, PartialEq)]
pub enum Extension {
    /// The extension level of the sender: [`EXTENSION_LEVEL`] of its build.
    Level(u8),
    /// Limits that upstreams name.
    Limits(LimitsPart),
    /// A query for a permit to send a request to an upstream that names a limit.
    PermitQuery(PermitQuery),
    /// The answer to a [`PermitQuery`].
    PermitAnswer(PermitAnswer),
    /// The hub has taken a permit for the placement in the message, or its upstream names no limit.
    HasPermit,
    /// Upstreams whose answers said that they are leaving.
    Leaving(LeavingPart),
    /// Upstreams that are in cooldown for the sender; sent with a report.
    Cooldowns(CooldownsPart),
    /// The sender knows that the source has returned from an older copy, in this era at the latest.
    Restored(u64),
    /// The urgency of the request in an admission query.
    Urgency(RequestUrgency),
    /// Samples of upstreams' speeds; sent by a daemon to its hub.
    Samples(SamplesPart),
    /// Speeds of upstreams; sent by a hub.
    Speeds(SpeedsPart),
    /// The scatters that go with [`Extension::Speeds`]; sent by a hub in the same packet.
    Scatters(ScattersPart),
    /// The room in the failure domain of a hub; sent by that hub.
    Rooms(RoomsPart),
    /// The tokens that requests hold in the memory of upstreams; sent with loads.
    Held(HeldPart),
    /// A query for a slot of an upstream that bears few rejections.
    SlotQuery(SlotQuery),
    /// The answer to a [`SlotQuery`].
    SlotAnswer(SlotAnswer),
    /// Slots that the sender no longer needs.
    SlotReleases(SlotReleases),
    /// The software version of the only upstreams that may run the request of an admission query.
    OnlyVersion(String),
    /// The software version that began streams.
    Origins(OriginsPart),
    /// A query for the software version that began a stream.
    OriginQuery(OriginQuery),
    /// The answer to an [`OriginQuery`].
    OriginAnswer(OriginAnswer),
    /// Parts of prompts during which upstreams crashed.
    PartCrashes(PartCrashesPart),
    /// The software version that is known to have served alone; sent with an [`OriginAnswer`].
    AloneVersion(String),
}

impl Extension {
    /// Appends the encoded extension to `bytes`.
    ///
    /// # Errors
    ///
    /// Returns an error if the extension can't be encoded.
    pub(in crate::cluster) fn encode(&self, bytes: &mut Vec<u8>) -> Result<(), EncodeError> {
        match self {
            Self::Level(level) => append(bytes, LEVEL, level),
            Self::Limits(part) => append(bytes, LIMITS, part),
            Self::PermitQuery(query) => append(bytes, PERMIT_QUERY, query),
            Self::PermitAnswer(answer) => append(bytes, PERMIT_ANSWER, answer),
            Self::HasPermit => append(bytes, HAS_PERMIT, &()),
            Self::Leaving(part) => append(bytes, LEAVING, part),
            Self::Cooldowns(part) => append(bytes, COOLDOWNS, part),
            Self::Restored(era) => append(bytes, RESTORED, era),
            Self::Urgency(urgency) => append(bytes, URGENCY, urgency),
            Self::Samples(part) => append(bytes, SAMPLES, part),
            Self::Speeds(part) => append(bytes, SPEEDS, part),
            Self::Scatters(part) => append(bytes, SCATTERS, part),
            Self::Rooms(part) => append(bytes, ROOMS, part),
            Self::Held(part) => append(bytes, HELD, part),
            Self::SlotQuery(query) => append(bytes, SLOT_QUERY, query),
            Self::SlotAnswer(answer) => append(bytes, SLOT_ANSWER, answer),
            Self::SlotReleases(releases) => append(bytes, SLOT_RELEASES, releases),
            Self::OnlyVersion(version) => append(bytes, ONLY_VERSION, version),
            Self::Origins(part) => append(bytes, ORIGINS, part),
            Self::OriginQuery(query) => append(bytes, ORIGIN_QUERY, query),
            Self::OriginAnswer(answer) => append(bytes, ORIGIN_ANSWER, answer),
            Self::PartCrashes(part) => append(bytes, PART_CRASHES, part),
            Self::AloneVersion(version) => append(bytes, ALONE_VERSION, version),
        }
    }

    /// Decodes all extensions that this build knows. Unknown kinds and undecodable bodies are
    /// skipped; decoding ends at a truncated extension.
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
            LEVEL => decode_body(body).map(Self::Level),
            LIMITS => decode_body(body).map(Self::Limits),
            PERMIT_QUERY => decode_body(body).map(Self::PermitQuery),
            PERMIT_ANSWER => decode_body(body).map(Self::PermitAnswer),
            HAS_PERMIT => Some(Self::HasPermit),
            LEAVING => decode_body(body).map(Self::Leaving),
            COOLDOWNS => decode_body(body).map(Self::Cooldowns),
            RESTORED => decode_body(body).map(Self::Restored),
            URGENCY => decode_body(body).map(Self::Urgency),
            SAMPLES => decode_body(body).map(Self::Samples),
            SPEEDS => decode_body(body).map(Self::Speeds),
            SCATTERS => decode_body(body).map(Self::Scatters),
            ROOMS => decode_body(body).map(Self::Rooms),
            HELD => decode_body(body).map(Self::Held),
            SLOT_QUERY => decode_body(body).map(Self::SlotQuery),
            SLOT_ANSWER => decode_body(body).map(Self::SlotAnswer),
            SLOT_RELEASES => decode_body(body).map(Self::SlotReleases),
            ONLY_VERSION => decode_body(body).map(Self::OnlyVersion),
            ORIGINS => decode_body(body).map(Self::Origins),
            ORIGIN_QUERY => decode_body(body).map(Self::OriginQuery),
            ORIGIN_ANSWER => decode_body(body).map(Self::OriginAnswer),
            PART_CRASHES => decode_body(body).map(Self::PartCrashes),
            ALONE_VERSION => decode_body(body).map(Self::AloneVersion),
            _ => None,
        }
    }
}

fn append(bytes: &mut Vec<u8>, kind: u8, body: &impl Encode) -> Result<(), EncodeError> {
    let start = bytes.len();
    bytes.extend([kind, 0, 0]);
    encode_into_std_write(body, bytes, config::standard())?;
    let length = bytes.len() - start - HEADER_BYTES;
    let length = u16::try_from(length).map_err(|_| EncodeError::Other("too long"))?;
    bytes[start + 1..start + HEADER_BYTES].copy_from_slice(&length.to_le_bytes());
    Ok(())
}

/// Decodes a body. Bytes behind the known fields are fields of later builds, and are ignored.
fn decode_body<T: Decode<()>>(body: &[u8]) -> Option<T> {
    let limited = config::standard().with_limit::<{ crate::cluster::MAX_DECODED_BYTES }>();
    decode_from_slice(body, limited).ok().map(|(read, _)| read)
}
