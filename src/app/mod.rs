//! The daemon, which connects the decisions of [`crate::policy`], the tables and the
//! external systems.

mod accept;
mod admission_control;
mod answer_reader;
mod app_error;
mod attempt;
mod box_watch;
mod claim_client;
mod daemon;
mod duties;
mod hand_over;
mod heartbeat;
mod hold;
mod load_watch;
mod locate;
mod model_loads;
mod peer_service;
mod reclaim_watch;
mod replacements;
mod replicate;
mod run_model;
mod run_plain;
mod score_board;
mod sweep;
mod table_watch;
mod world;

pub use {
    accept::*, admission_control::*, answer_reader::*, app_error::*, box_watch::*, claim_client::*,
    daemon::*, hand_over::*, hold::*, locate::*, replicate::*, score_board::*, table_watch::*,
    world::*,
};
