use serde::{Deserialize, Deserializer, de::Error};

/// Deserializes a share, a number above 0 and at most 1.
///
/// # Errors
///
/// Returns an error that names the number if it is out of this range.
pub fn share<'de, D: Deserializer<'de>>(deserializer: D) -> Result<f64, D::Error> {
    let number = f64::deserialize(deserializer)?;
    match number > 0.0 && number <= 1.0 {
        true => Ok(number),
        false => Err(D::Error::custom(format!(
            "expected a share above 0 and at most 1, found {number}"
        ))),
    }
}

/// Deserializes a share, like [`share`], for a field that may be left out.
///
/// # Errors
///
/// Returns an error that names the number if it is out of this range.
pub fn optional_share<'de, D: Deserializer<'de>>(deserializer: D) -> Result<Option<f64>, D::Error> {
    share(deserializer).map(Some)
}

/// Deserializes a finite number above 0, such as a duration or a factor.
///
/// # Errors
///
/// Returns an error that names the number if it is not above 0, or not finite.
pub fn positive<'de, D: Deserializer<'de>>(deserializer: D) -> Result<f64, D::Error> {
    let number = f64::deserialize(deserializer)?;
    match number > 0.0 && number.is_finite() {
        true => Ok(number),
        false => Err(D::Error::custom(format!(
            "expected a number above 0, found {number}"
        ))),
    }
}

/// Deserializes a finite number that is 0 or more.
///
/// # Errors
///
/// Returns an error that names the number if it is below 0, or not finite.
pub fn not_negative<'de, D: Deserializer<'de>>(deserializer: D) -> Result<f64, D::Error> {
    let number = f64::deserialize(deserializer)?;
    match number >= 0.0 && number.is_finite() {
        true => Ok(number),
        false => Err(D::Error::custom(format!(
            "expected 0 or more, found {number}"
        ))),
    }
}

/// Deserializes a count of at least 1.
///
/// # Errors
///
/// Returns an error if the count is 0.
pub fn at_least_one<'de, D: Deserializer<'de>>(deserializer: D) -> Result<usize, D::Error> {
    match usize::deserialize(deserializer)? {
        0 => Err(D::Error::custom("expected 1 or more, found 0")),
        count => Ok(count),
    }
}
