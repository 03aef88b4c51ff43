use {
    super::Gateway,
    crate::{contracts::line_of, routing::RoutingConfig, upstreams::Upstream},
    displaydoc::Display,
    serde::Deserialize,
    std::{
        io,
        path::{Path, PathBuf},
        sync::Arc,
        time::Duration,
    },
};

/// Interval between two reads of the file.
const CHECK_INTERVAL: Duration = Duration::from_millis(500);

/// A file with routes and upstreams.
#[derive(Clone, Debug, Default, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RoutesFile {
    /// The routing configuration.
    pub config: RoutingConfig,
    /// The upstreams; empty if the file names none.
    #[serde(default)]
    pub upstreams: Vec<Upstream>,
}

/// Why a file with routes is not usable.
#[derive(Debug, Display, thiserror::Error)]
pub enum RoutesFileError {
    /// can't be read: {0}
    Read(#[from] io::Error),
    /// line {line}: {message}
    Malformed {
        /// Number of the line, from 1.
        line: usize,
        /// The parser's message.
        message: String,
    },
}

impl RoutesFile {
    /// Reads a file.
    ///
    /// # Errors
    ///
    /// Returns an error if the file can't be read, or the malformed line.
    pub fn read(path: &Path) -> Result<Self, RoutesFileError> {
        Self::parse(&std::fs::read_to_string(path)?)
    }

    /// Parses the text of a file.
    ///
    /// # Errors
    ///
    /// Returns the malformed line.
    pub fn parse(text: &str) -> Result<Self, RoutesFileError> {
        toml::from_str(text).map_err(|e| RoutesFileError::Malformed {
            line: line_of(text, e.span().map_or(0, |s| s.start)),
            message: e.message().to_string(),
        })
    }
}

/// Reads a file with routes and upstreams repeatedly and applies it to the daemon. A file that
/// is not usable changes nothing and is logged once per error.
pub async fn follow_file(path: PathBuf, gateway: Arc<Gateway>) {
    let mut last_error = String::new();
    loop {
        let routes = RoutesFile::read(&path);
        match routes {
            Ok(file) => {
                gateway.apply_config(file.config);
                gateway.change_directory(|directory, _| directory.replace_own(file.upstreams));
                gateway.record_source();
                gateway.check_ready();
                last_error.clear();
            }
            Err(e) if e.to_string() != last_error => {
                last_error = e.to_string();
                log::warn!(target: "config", "{}: {e}", path.display());
            }
            Err(_) => {}
        }
        tokio::time::sleep(CHECK_INTERVAL).await;
    }
}
