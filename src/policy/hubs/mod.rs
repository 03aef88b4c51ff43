//! Which daemons of a failure domain let requests in and place them for the
//! others, and how those choose whom to ask.

mod contact;
mod rank;
mod seed_backoff;

pub use {contact::*, rank::*, seed_backoff::*};
