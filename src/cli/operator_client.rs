use {
    super::CliError,
    crate::{caller::Status, http::*},
    http::{HeaderMap, HeaderValue, header::AUTHORIZATION},
    std::{env, net::SocketAddr, time::Duration},
};

const TIMEOUT: Duration = Duration::from_secs(3);

/// Client for the operator endpoints of daemons.
pub struct OperatorClient {
    client: HttpClient,
    headers: HeaderMap,
}

impl OperatorClient {
    /// Makes a client with the bearer token in `SADDLEPULLEY_TOKEN`.
    pub fn from_env() -> Self {
        Self::with_token(&env::var("SADDLEPULLEY_TOKEN").unwrap_or_default())
    }

    /// Makes a client with a bearer token.
    pub fn with_token(token: &str) -> Self {
        let mut headers = HeaderMap::new();
        if let Ok(mut value) = HeaderValue::from_str(&format!("Bearer {token}")) {
            value.set_sensitive(true);
            headers.insert(AUTHORIZATION, value);
        }
        Self {
            client: HttpClient::default(),
            headers,
        }
    }

    /// Returns a daemon's status.
    pub async fn status(&self, at: SocketAddr) -> Result<Status, CliError> {
        let req = request("GET", at, "/status", &self.headers, Default::default())?;
        Ok(from_json(&self.client.call(req, TIMEOUT).await?)?)
    }

    /// Makes a daemon drain.
    pub async fn drain(&self, at: SocketAddr) -> Result<(), CliError> {
        let req = request("POST", at, "/drain", &self.headers, Default::default())?;
        self.client.call(req, TIMEOUT).await?;
        Ok(())
    }
}

/// Parses a comma-separated list of addresses.
pub fn parse_addrs(text: &str) -> Result<Vec<SocketAddr>, CliError> {
    let usage_error = |part: &str| CliError::Usage(format!("expected IP:port, found `{part}`"));
    text.split(',')
        .map(|part| part.trim().parse().map_err(|_| usage_error(part)))
        .collect()
}
