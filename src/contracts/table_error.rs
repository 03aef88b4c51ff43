use std::path::PathBuf;

/// Says what is wrong with a table or an edit, and where.
#[derive(Debug, displaydoc::Display, thiserror::Error)]
pub enum TableError {
    /// {key}: field `{field}`: {expected}
    Field {
        /// The key of the row or account.
        key: String,
        /// The field.
        field: &'static str,
        /// What was expected, and what was found.
        expected: String,
    },
    /// {key}: stands in the table more than once
    Twice {
        /// The key of the row or account.
        key: String,
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
    /// {path}: can't be read: {source}
    Read {
        /// The file.
        path: PathBuf,
        /// The cause.
        source: std::io::Error,
    },
}
