//! The command line.

mod check;
mod cli_error;
mod demo;
mod demo_world;
mod explain;
mod gateway_command;
mod help;
mod logs;
mod operator_client;
mod report_command;
mod rollout_command;
mod run;
mod serve;
mod status;
mod table_command;

pub use {cli_error::*, logs::*, run::*, table_command::*};
