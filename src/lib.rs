//! saddlepulley: a serving system for language models and their companion
//! services on cheap, reclaimable boxes.

pub mod app;
pub mod boxes;
pub mod caller;
pub mod cli;
pub mod clock;
pub mod cluster;
pub mod conf;
pub mod contracts;
pub mod engine;
pub mod failure_domains;
pub mod gateway;
pub mod http;
pub mod links;
pub mod logs;
pub mod names;
pub mod peer;
#[path = "../platform/mod.rs"]
pub mod platform;
pub mod policy;
pub mod provider;
pub mod report;
pub mod requests;
pub mod rollouts;
pub mod routing;
pub mod streams;
pub mod upstreams;
