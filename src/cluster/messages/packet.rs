use crate::cluster::*;

/// A datagram with the extensions behind its message.
#[derive(Clone, Debug, PartialEq)]
pub struct Packet {
    /// The message, which all builds that support its version read.
    pub datagram: Datagram,
    /// The extensions, which builds without support for them ignore.
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
    /// Creates a packet with an empty crash message: it has no effect on builds without
    /// extensions, while each message of a kind that they don't know adds a line to their logs.
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

    /// Returns whether one more extension fits into the packet.
    pub fn has_room_for(&self, extension: &Extension) -> bool {
        let mut bytes = match self.encode() {
            Ok(bytes) => bytes,
            Err(_) => return false,
        };
        extension.encode(&mut bytes).is_ok() && bytes.len() <= MAX_DATAGRAM_BYTES
    }

    /// Encodes the packet. Extensions that don't fit are left out: the message has precedence, and
    /// extensions are sent again later.
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

    /// Encodes the packet for builds that use a version; none if that version has no such
    /// message. Builds of the oldest version get no extensions, as they don't support them.
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
    /// Returns an error if the bytes are malformed or of an unsupported version.
    pub fn decode(bytes: &[u8]) -> Result<Self, DatagramError> {
        let (datagram, extension_bytes) = Datagram::decode_prefix(bytes)?;
        Ok(Self {
            datagram,
            extensions: Extension::decode_all(extension_bytes),
        })
    }

    /// Returns the extension level that the sender names; 0 if it names none.
    pub fn level(&self) -> u8 {
        let levels = self.extensions.iter().map(|e| match e {
            Extension::Level(level) => *level,
            _ => 0,
        });
        levels.max().unwrap_or(0)
    }

    /// Returns what the sender states of the request in an admission query.
    pub fn query_terms(&self) -> QueryTerms {
        QueryTerms::of(&self.extensions)
    }

    /// Returns the scatters that go with the speeds in the packet; none if the sender states none.
    pub fn scatters(&self) -> Option<&ScattersPart> {
        self.extensions.iter().find_map(|e| match e {
            Extension::Scatters(part) => Some(part),
            _ => None,
        })
    }

    /// Returns the software version that the sender of an [`OriginAnswer`] knows to have served alone.
    pub fn alone_version(&self) -> Option<&str> {
        self.extensions.iter().find_map(|e| match e {
            Extension::AloneVersion(version) => Some(version.as_str()),
            _ => None,
        })
    }

    /// Returns the held tokens that go with the loads in the packet; none if the sender states none.
    pub fn held(&self) -> Option<&HeldPart> {
        self.extensions.iter().find_map(|e| match e {
            Extension::Held(part) => Some(part),
            _ => None,
        })
    }
}
