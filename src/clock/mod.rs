//! A clock that also advances while the machine is suspended, and timeouts that use it.
//!
//! The monotonic clock and all timers stop during a suspension. A lease, deadline or age that
//! is measured by them continues where it stopped, so that its holder still acts long after
//! another one has taken over.

mod boot_instant;
mod deadline;
mod suspension;

pub use {boot_instant::*, deadline::*, suspension::*};
