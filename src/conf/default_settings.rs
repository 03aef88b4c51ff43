/// Default settings of a daemon on an entry box, with a comment for each key; `serve
/// --default-settings` prints them.
pub const DEFAULT_SETTINGS: &str = include_str!("default-settings.toml");

/// Default settings of a daemon that routes by host and path, with comments; `gateway
/// --default-settings` prints them.
pub const DEFAULT_GATEWAY_SETTINGS: &str = include_str!("default-gateway-settings.toml");
