//! Stand-ins for the external systems that saddlepulley calls, and a load generator.
//!
//! Each stand-in implements the published HTTP protocol of the system that it replaces.
//! Requests under `/control` inject faults and change its settings.

pub mod engine;
pub mod http;
pub mod load;
pub mod plain;
pub mod platform;
pub mod runner;
pub mod store;
