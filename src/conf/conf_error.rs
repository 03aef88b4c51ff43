use std::path::PathBuf;

/// Says what is wrong with the settings, and where.
#[derive(Debug, displaydoc::Display, thiserror::Error)]
pub enum ConfError {
    /// {path}: can't be read: {source}
    Read {
        /// The file.
        path: PathBuf,
        /// The cause.
        source: std::io::Error,
    },
    /// {path}:{line}: {message}
    Parse {
        /// The file.
        path: String,
        /// The line, from 1.
        line: usize,
        /// What was expected.
        message: String,
    },
}
