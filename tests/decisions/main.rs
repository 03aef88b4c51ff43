//! Tests of the decisions: pure, without processes, clocks or sockets.

mod admission;
mod box_facts;
mod claim_exploration;
mod cluster_support;
mod config_spread;
mod datagrams;
mod duties;
mod engine_model;
mod files;
mod fleet;
mod gateway_files;
mod hubs;
mod lease;
mod members;
mod placement;
mod platform;
mod quota;
mod reclaim;
mod report;
mod routed;
mod sources;
mod spill;
mod splice;
mod support;
mod table_fold;
mod usage;
