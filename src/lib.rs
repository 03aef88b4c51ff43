//! saddlepulley: a serving system for language models and their companion
//! services on cheap, reclaimable boxes.

pub mod app;
pub mod boxes;
pub mod caller;
pub mod cli;
pub mod conf;
pub mod contracts;
pub mod engine;
pub mod failure_domains;
pub mod http;
pub mod links;
pub mod names;
pub mod peer;
pub mod platform;
pub mod policy;
pub mod report;
pub mod requests;
