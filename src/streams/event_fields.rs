use super::StreamFault;

/// The byte order mark with which a stream may begin.
pub const BYTE_ORDER_MARK: &[u8] = b"\xEF\xBB\xBF";
/// Bytes that may stand in the name of a field beside letters and digits, as in the name of a header.
const NAME_BYTES: &[u8] = b"!#$%&'*+-.^_`|~";

/// What the lines of one event hold, by the standard of server-sent events.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct EventFields {
    id: Option<u64>,
    has_data: bool,
    /// A field that makes sense in an event only: its type, or one that the standard does not name, such as the
    /// version of the model's weights.
    has_other: bool,
    /// A line that is no comment.
    has_field: bool,
}

impl EventFields {
    /// Takes in a line without its end.
    ///
    /// # Errors
    ///
    /// Returns why the line belongs to no event.
    pub fn add_line(&mut self, line: &[u8], is_first: bool) -> Result<(), StreamFault> {
        let line = match is_first {
            true => line.strip_prefix(BYTE_ORDER_MARK).unwrap_or(line),
            false => line,
        };
        if std::str::from_utf8(line).is_err() {
            return Err(StreamFault::BadLine);
        }
        let colon = memchr::memchr(b':', line);
        let (name, value) = match colon {
            Some(0) => return Ok(()),
            Some(at) => (&line[..at], Some(&line[at + 1..])),
            None => (line, None),
        };
        if name.is_empty() {
            return Ok(());
        }
        self.has_field = true;
        match (name, value) {
            (b"data", _) => self.has_data = true,
            (b"id", value) => self.set_id(value.unwrap_or_default())?,
            (b"retry", _) => {}
            (b"event", _) => self.has_other = true,
            (name, Some(_)) if is_name(name) => self.has_other = true,
            _ => return Err(StreamFault::BadLine),
        }
        Ok(())
    }

    /// Returns the id of the event that ends here, or `None` for lines that are no event: comments, and
    /// fields that concern the connection.
    ///
    /// # Errors
    ///
    /// Returns what an event lacks.
    pub fn finish(&self) -> Result<Option<u64>, StreamFault> {
        match (self.id, self.has_data) {
            (Some(id), true) => Ok(Some(id)),
            (Some(_), false) => Err(StreamFault::NoData),
            (None, true) => Err(StreamFault::NoId),
            (None, false) if self.has_other => Err(StreamFault::NoId),
            (None, false) => Ok(None),
        }
    }

    /// Returns whether an event has begun: some line is no comment.
    pub fn has_field(&self) -> bool {
        self.has_field
    }

    fn set_id(&mut self, value: &[u8]) -> Result<(), StreamFault> {
        let id = parse_id(value).ok_or(StreamFault::BadId)?;
        match self.id.replace(id) {
            Some(_) => Err(StreamFault::SecondId),
            None => Ok(()),
        }
    }
}

/// Reads an id, which is a number in decimal digits without a sign.
fn parse_id(value: &[u8]) -> Option<u64> {
    let digits = std::str::from_utf8(value).ok()?.trim_matches(' ');
    // A number may be parsed with a sign, which no id has.
    let is_number = digits.bytes().all(|b| b.is_ascii_digit());
    digits.parse().ok().filter(|_| is_number)
}

fn is_name(name: &[u8]) -> bool {
    let is_name_byte = |b: &u8| b.is_ascii_alphanumeric() || NAME_BYTES.contains(b);
    name.iter().all(is_name_byte)
}
