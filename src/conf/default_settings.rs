/// The commented default settings, as users read them.
pub const DEFAULT_SETTINGS: &str = include_str!("default-settings.toml");
