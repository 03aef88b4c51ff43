use {
    crate::{names::UpstreamId, policy::KnownSpeed},
    bincode::{Decode, Encode},
};

/// Speeds of upstreams, as a hub announces them. A repeated announcement changes nothing.
#[derive(Clone, Debug, PartialEq, Encode, Decode)]
pub struct SpeedsPart {
    /// The name of the hub.
    pub name: String,
    /// The speeds.
    pub speeds: Vec<AnnouncedSpeed>,
}

/// By how much answers differ from estimates, for the service of each upstream of a [`SpeedsPart`] and in
/// its order. It is sent behind that part in the same packet.
#[derive(Clone, Debug, Default, PartialEq, Encode, Decode)]
pub struct ScattersPart {
    /// The scatter as a logarithm; none if the hub doesn't know it.
    pub scatters: Vec<Option<f32>>,
}

impl ScattersPart {
    /// Creates the part that goes with some speeds.
    pub fn of(speeds: &[KnownSpeed]) -> Self {
        let scatters = speeds.iter().map(|known| known.scatter);
        Self {
            scatters: scatters.map(|s| s.map(|s| s as f32)).collect(),
        }
    }
}

/// The wire form of a [`KnownSpeed`], apart from the scatter of its service.
#[derive(Clone, Debug, PartialEq, Encode, Decode)]
pub struct AnnouncedSpeed {
    /// The id of the upstream.
    pub upstream: String,
    /// The time that it takes for a token, as a multiple of its service's usual time.
    pub factor: f32,
    /// The weight of the answers behind the factor.
    pub weight: f32,
    /// The age of the newest of these answers, in milliseconds.
    pub age_ms: u32,
}

impl SpeedsPart {
    /// Returns the known speeds; `scatters` are those of the same packet.
    pub fn known(&self, scatters: Option<&ScattersPart>) -> Vec<KnownSpeed> {
        let scatter_of = |index| *scatters?.scatters.get(index)?;
        let speeds = self.speeds.iter().enumerate();
        speeds
            .map(|(index, speed)| KnownSpeed {
                scatter: scatter_of(index).map(f64::from),
                ..speed.to_known()
            })
            .collect()
    }
}

impl AnnouncedSpeed {
    /// Creates the wire form of a known speed.
    pub fn of(known: &KnownSpeed) -> Self {
        Self {
            upstream: known.upstream.to_string(),
            factor: known.factor as f32,
            weight: known.weight as f32,
            age_ms: u32::try_from(known.age_ms).unwrap_or(u32::MAX),
        }
    }

    /// Returns the known speed, without a scatter.
    pub fn to_known(&self) -> KnownSpeed {
        KnownSpeed {
            scatter: None,
            upstream: UpstreamId::from(self.upstream.as_str()),
            factor: f64::from(self.factor),
            weight: f64::from(self.weight),
            age_ms: u64::from(self.age_ms),
        }
    }
}
