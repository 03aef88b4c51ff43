use crate::cluster::*;

/// A datagram with what stands behind its message.
#[derive(Clone, Debug, PartialEq)]
pub struct Packet {
    /// The message, which all builds of its version read.
    pub datagram: Datagram,
    /// What only later builds read.
    pub extensions: Vec<Extension>,
}

impl From<Datagram> for Packet {
    fn from(datagram: Datagram) -> Self {
        Self {
            datagram,
            extensions: Vec::new(),
        }
    }
}

impl From<Extension> for Packet {
    /// Makes a packet whose message says nothing: builds that know of no extensions take
    /// it in without effect, where a kind of message that they don't know is a line in
    /// their logs each time.
    fn from(extension: Extension) -> Self {
        Self {
            datagram: Datagram::Crashes(CrashesPart {
                among_hubs: false,
                ends: Vec::new(),
            }),
            extensions: vec![extension],
        }
    }
}

impl Packet {
    /// Adds an extension.
    #[must_use]
    pub fn with(mut self, extension: Extension) -> Self {
        self.extensions.push(extension);
        self
    }

    /// Encodes the packet. Extensions that do not fit any more are left out: the message
    /// goes first, and what else stands there is told again.
    ///
    /// # Errors
    ///
    /// Returns [`DatagramError::TooLarge`] for more than [`MAX_DATAGRAM_BYTES`].
    pub fn encode(&self) -> Result<Vec<u8>, DatagramError> {
        let mut bytes = self.datagram.encode()?;
        for extension in &self.extensions {
            let length = bytes.len();
            let encoded = extension.encode(&mut bytes);
            encoded.map_err(|e| DatagramError::Malformed(e.to_string()))?;
            if bytes.len() > MAX_DATAGRAM_BYTES {
                bytes.truncate(length);
            }
        }
        Ok(bytes)
    }

    /// Encodes the packet as builds of a version understand it; nothing, if they know of no
    /// such message. Those of the oldest version know of no extensions.
    ///
    /// # Errors
    ///
    /// Returns [`DatagramError::TooLarge`] for more than [`MAX_DATAGRAM_BYTES`].
    pub fn encode_for(&self, version: u8) -> Result<Option<Vec<u8>>, DatagramError> {
        match version {
            DATAGRAM_VERSION => self.encode().map(Some),
            _ => self.datagram.encode_for(version),
        }
    }

    /// Decodes a packet.
    ///
    /// # Errors
    ///
    /// Returns why the bytes are none.
    pub fn decode(bytes: &[u8]) -> Result<Self, DatagramError> {
        let (datagram, rest) = Datagram::decode_first(bytes)?;
        Ok(Self {
            datagram,
            extensions: Extension::decode_all(rest),
        })
    }

    /// Returns up to which kind of extension its sender knows all; 0 of a build that knows
    /// none.
    pub fn level(&self) -> u8 {
        let levels = self.extensions.iter().map(|e| match e {
            Extension::Level(level) => *level,
            _ => 0,
        });
        levels.max().unwrap_or(0)
    }
}
