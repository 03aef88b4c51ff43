//! Clients of the platform: log service, box list, cloud API and weight store, each behind a
//! trait.

mod box_list;
mod cloud_api;
mod era_tracker;
mod platform_error;
mod platform_http;
mod platform_log;
mod source_monitor;
mod weight_store;

pub use {
    box_list::*, cloud_api::*, era_tracker::*, platform_error::*, platform_http::*,
    platform_log::*, source_monitor::*, weight_store::*,
};
