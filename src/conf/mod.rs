//! Settings files of the daemons, with their defaults and checks.

mod checked_numbers;
mod conf_error;
mod default_settings;
mod gateway_settings;
mod mechanisms;
mod settings;

pub use {
    checked_numbers::*, conf_error::*, default_settings::*, gateway_settings::*, mechanisms::*,
    settings::*,
};
