use {
    nix::time::{ClockId, clock_gettime},
    std::{
        ops::{Add, Sub},
        time::Duration,
    },
};

/// A moment by a clock that begins with the machine and also counts while it is suspended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct BootInstant(Duration);

impl BootInstant {
    /// Returns the present moment.
    ///
    /// # Panics
    ///
    /// Panics on a system that lacks the clock: leases could not be kept there.
    pub fn now() -> Self {
        let now = clock_gettime(ClockId::CLOCK_BOOTTIME);
        Self(now.expect("Linux has this clock").into())
    }

    /// Returns how long ago this was; nothing for what is to come.
    pub fn elapsed(self) -> Duration {
        Self::now() - self
    }

    /// Returns how long it is until this moment; nothing for what is past.
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
