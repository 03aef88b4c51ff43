//! Stand-in of the users' store and of the API for duties. Implements the parts of their
//! published protocol that are used here: topics, keyed topics, conditional appends, usage
//! and orders.

mod duty_call;
mod paced_body;
mod producers;
mod service;
mod topics;

pub use {duty_call::*, paced_body::*, producers::*, service::*, topics::*};
