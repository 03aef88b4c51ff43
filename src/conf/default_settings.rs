/// The commented default settings, as users read them.
pub const DEFAULT_SETTINGS: &str = include_str!("default-settings.toml");

/// The commented settings of a daemon on the routed path.
pub const DEFAULT_GATEWAY_SETTINGS: &str = include_str!("default-gateway-settings.toml");
