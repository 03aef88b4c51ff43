use std::path::PathBuf;

/// A fault in a settings file, and its place.
#[derive(Debug, displaydoc::Display, thiserror::Error)]
pub enum ConfError {
    /// {path}: failed to read the file: {source}
    Read {
        /// Path of the file.
        path: PathBuf,
        /// Cause of the failure.
        source: std::io::Error,
    },
    /// {path}:{line}: {message}
    Parse {
        /// Path of the file.
        path: String,
        /// Number of the line, counted from 1.
        line: usize,
        /// What is wrong, or what was expected instead.
        message: String,
    },
}
