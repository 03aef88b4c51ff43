//! The users' store and API for duties, as far as their published protocol is
//! spoken here: topics, keyed topics, appends under a condition, usage, orders.

mod duty_call;
mod paced_body;
mod service;
mod topics;

pub use {duty_call::*, paced_body::*, service::*, topics::*};
