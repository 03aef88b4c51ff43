//! Settings of a daemon and of the operator's command line.

mod conf_error;
mod default_settings;
mod gateway_settings;
mod settings;

pub use {conf_error::*, default_settings::*, gateway_settings::*, settings::*};
