//! Tests of the decisions: pure, without processes, clocks or sockets.

mod admission;
mod box_facts;
mod claim_exploration;
mod config_spread;
mod digests;
mod duties;
mod engine_model;
mod files;
mod fleet;
mod gateway_files;
mod lease;
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
