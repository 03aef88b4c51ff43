//! Small stand-ins for the outside systems that saddlepulley meets, and a load tool.
//!
//! Each stand-in speaks the published protocol of what it stands for over HTTP,
//! and takes orders to misbehave under `/control`.

pub mod engine;
pub mod http;
pub mod load;
pub mod plain;
pub mod platform;
pub mod runner;
pub mod store;
