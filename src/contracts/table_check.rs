use {super::*, crate::policy::POLICY_NAMES, std::collections::BTreeSet};

const MAX_WEIGHT: u32 = 1_000;
const MAX_TARGET_MS: u32 = 600_000;
const SHA256_HEX_LEN: usize = 64;

/// Checks an edit against the table that it changes.
///
/// # Errors
///
/// Returns the first entry and field that break a rule.
pub fn check_edit(table: &Table, edit: &Edit) -> Result<(), TableError> {
    let accounts = accounts_after(table, edit);
    for (key, change) in &edit.changes {
        let Some(entry) = &change.entry else { continue };
        if entry.key() != *key {
            return Err(field_error(
                key,
                "key",
                format!("expected `{}`", entry.key()),
            ));
        }
        check_entry(entry, &accounts)?;
    }
    Ok(())
}

/// Checks one entry; `accounts` are the names of the accounts in the resulting table.
///
/// # Errors
///
/// Returns the field that breaks a rule.
pub fn check_entry(entry: &Entry, accounts: &BTreeSet<String>) -> Result<(), TableError> {
    match entry {
        Entry::Account(a) => check_account(a),
        Entry::Row(c) => check_row(c, accounts),
    }
}

/// Returns the names of the accounts in the table that results from an edit.
fn accounts_after(table: &Table, edit: &Edit) -> BTreeSet<String> {
    let mut names: BTreeSet<String> = table.accounts().map(|a| a.name.to_string()).collect();
    for (key, change) in &edit.changes {
        match &change.entry {
            Some(Entry::Account(a)) => {
                names.insert(a.name.to_string());
            }
            None => {
                if let Some(name) = key.strip_prefix("account:") {
                    names.remove(name);
                }
            }
            Some(Entry::Row(_)) => {}
        }
    }
    names
}

fn check_account(a: &AccountEntry) -> Result<(), TableError> {
    let key = Entry::Account(a.clone()).key();
    check_name(&key, "name", a.name.as_str())?;
    for hash in &a.token_sha256 {
        if hash.len() != SHA256_HEX_LEN || hex::decode(hash).is_err() {
            return Err(field_error(
                &key,
                "token_sha256",
                "expected 64 hexadecimal digits".into(),
            ));
        }
    }
    Ok(())
}

fn check_row(c: &Contract, accounts: &BTreeSet<String>) -> Result<(), TableError> {
    let key = Entry::Row(c.clone()).key();
    check_name(&key, "account", c.account.as_str())?;
    check_name(&key, "service", c.service.as_str())?;
    check_name(&key, "failure_domain", c.failure_domain.as_str())?;
    if !accounts.contains(c.account.as_str()) {
        let expected = format!("expected an account of the table, found `{}`", c.account);
        return Err(field_error(&key, "account", expected));
    }
    check_range(
        &key,
        "weight",
        f64::from(c.weight),
        1.0,
        f64::from(MAX_WEIGHT),
    )?;
    check_range(&key, "rate", c.rate, 0.0, 1e6)?;
    check_range(&key, "tokens_per_s", c.tokens_per_s, 0.0, 1e9)?;
    check_range(&key, "retry_budget", c.retry_budget, 0.0, 1.0)?;
    check_range(&key, "objective", c.objective, 0.0, 0.99999)?;
    check_target(&key, "first_token_ms", c.first_token_ms)?;
    check_target(&key, "between_tokens_ms", c.between_tokens_ms)?;
    check_policies(&key, c)
}

fn check_policies(key: &str, c: &Contract) -> Result<(), TableError> {
    for name in c.policies.keys() {
        if !POLICY_NAMES.contains(&name.as_str()) {
            let expected = format!("expected one of {POLICY_NAMES:?}, found `{name}`");
            return Err(field_error(key, "policies", expected));
        }
    }
    if c.policies.values().all(|share| *share == 0) {
        return Err(field_error(
            key,
            "policies",
            "expected at least one share above 0".into(),
        ));
    }
    Ok(())
}

fn check_target(key: &str, name: &'static str, ms: u32) -> Result<(), TableError> {
    check_range(key, name, f64::from(ms), 1.0, f64::from(MAX_TARGET_MS))
}

fn check_range(
    key: &str,
    name: &'static str,
    value: f64,
    min: f64,
    max: f64,
) -> Result<(), TableError> {
    if (min..=max).contains(&value) {
        return Ok(());
    }
    Err(field_error(
        key,
        name,
        format!("expected {min} to {max}, found {value}"),
    ))
}

fn check_name(key: &str, name: &'static str, value: &str) -> Result<(), TableError> {
    let is_allowed = |c: char| c.is_ascii_alphanumeric() || "-_.".contains(c);
    if !value.is_empty() && value.len() <= 64 && value.chars().all(is_allowed) {
        return Ok(());
    }
    let expected = "expected 1 to 64 letters, digits, `-`, `_` or `.`";
    Err(field_error(
        key,
        name,
        format!("{expected}, found `{value}`"),
    ))
}

fn field_error(key: &str, field: &'static str, expected: String) -> TableError {
    TableError::Field {
        key: key.to_string(),
        field,
        expected,
    }
}
