use {
    crate::{
        app::AppError, conf::ConfError, contracts::TableError, http::HttpError,
        provider::PlatformError,
    },
    std::process::ExitCode,
};

/// The reason why a command failed.
#[derive(Debug, displaydoc::Display, thiserror::Error)]
pub enum CliError {
    /// {0}
    Usage(String),
    /// {0}
    Conf(#[from] ConfError),
    /// {0}
    Table(#[from] TableError),
    /// {0}
    App(#[from] AppError),
    /// platform: {0}
    Platform(#[from] PlatformError),
    /// daemon: {0}
    Daemon(#[from] HttpError),
    /// conflict: another edit changed {0}
    Conflict(String),
    /// {0}
    Failed(String),
    /// {0}
    Io(#[from] std::io::Error),
}

impl From<pico_args::Error> for CliError {
    fn from(e: pico_args::Error) -> Self {
        Self::Usage(e.to_string())
    }
}

impl CliError {
    /// Returns the exit code: 2 for wrong usage or a wrong file, 3 for a conflict, 1 for any other
    /// failure.
    pub fn exit_code(&self) -> ExitCode {
        match self {
            Self::Usage(_) | Self::Conf(_) | Self::Table(_) => ExitCode::from(2),
            Self::Conflict(_) => ExitCode::from(3),
            _ => ExitCode::from(1),
        }
    }
}
