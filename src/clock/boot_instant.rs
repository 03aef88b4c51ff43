use {
    nix::time::{ClockId, clock_gettime},
    std::{
        ops::{Add, Sub},
        time::Duration,
    },
};

/// A point in time by `CLOCK_BOOTTIME`, which starts with the machine and also advances while
/// the machine is suspended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct BootInstant(Duration);

impl BootInstant {
    /// Returns the current time.
    ///
    /// # Panics
    ///
    /// Panics on a system without this clock, as leases can't be kept safely there.
    pub fn now() -> Self {
        let now = clock_gettime(ClockId::CLOCK_BOOTTIME);
        Self(now.expect("Linux has CLOCK_BOOTTIME").into())
    }

    /// Returns the time that has passed since this point; zero if it is in the future.
    pub fn elapsed(self) -> Duration {
        Self::now() - self
    }

    /// Returns the time that is left until this point; zero if it is in the past.
    pub fn left(self) -> Duration {
        self - Self::now()
    }
}

impl Add<Duration> for BootInstant {
    type Output = Self;

    fn add(self, time: Duration) -> Self {
        Self(self.0 + time)
    }
}

impl Sub for BootInstant {
    type Output = Duration;

    fn sub(self, earlier: Self) -> Duration {
        self.0.saturating_sub(earlier.0)
    }
}
