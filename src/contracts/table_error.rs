use std::path::PathBuf;

/// A fault in a table or an edit, and its place.
#[derive(Debug, displaydoc::Display, thiserror::Error)]
pub enum TableError {
    /// {key}: field `{field}`: {expected}
    Field {
        /// Key of the row or account.
        key: String,
        /// Name of the field.
        field: &'static str,
        /// Expected value, and usually the value that was found.
        expected: String,
    },
    /// {key}: duplicate entry in the table
    Duplicate {
        /// Key of the row or account.
        key: String,
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
    /// {path}: failed to read the file: {source}
    Read {
        /// Path of the file.
        path: PathBuf,
        /// Cause of the failure.
        source: std::io::Error,
    },
}
