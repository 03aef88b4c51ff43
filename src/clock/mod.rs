//! A clock that also counts while the machine is suspended, and waits by it.
//!
//! The steady clock stands still then, and all timers with it. A lease, a deadline or an
//! age that is held by it goes on where it stopped: its holder acts when another has
//! long taken its place.

mod boot_instant;
mod deadline;
mod suspension;

pub use {boot_instant::*, deadline::*, suspension::*};
