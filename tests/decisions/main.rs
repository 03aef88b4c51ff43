//! Tests of the decisions: pure, without processes, clocks or sockets.

mod admission;
mod box_facts;
mod claim_exploration;
mod files;
mod lease;
mod placement;
mod reclaim;
mod report;
mod spill;
mod splice;
mod support;
mod table_fold;
