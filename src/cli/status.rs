use {
    super::{CliError, block_on, finish, operator_client::*},
    crate::{caller::Status, policy::BoxState},
    pico_args::Arguments,
};

/// Runs `status`.
pub fn status(mut args: Arguments) -> Result<(), CliError> {
    let at: String = args.value_from_str("--at")?;
    let as_json = args.contains("--json");
    finish(args)?;
    let addrs = parse_addrs(&at)?;
    block_on(async {
        let client = OperatorClient::from_env();
        let mut failed = 0;
        for addr in addrs {
            match client.status(addr).await {
                Ok(s) if as_json => println!("{}", serde_json::to_string(&s).unwrap_or_default()),
                Ok(s) => print_status(&s),
                Err(e) => {
                    eprintln!("{addr}: {e}");
                    failed += 1;
                }
            }
        }
        if failed > 0 {
            return Err(CliError::Failed(format!("{failed} daemons did not answer")));
        }
        Ok(())
    })
}

/// Runs `drain`.
pub fn drain(mut args: Arguments) -> Result<(), CliError> {
    let at: String = args.value_from_str("--at")?;
    finish(args)?;
    let addrs = parse_addrs(&at)?;
    block_on(async {
        for addr in addrs {
            OperatorClient::from_env().drain(addr).await?;
            println!("{addr}: draining");
        }
        Ok(())
    })
}

fn print_status(s: &Status) {
    println!(
        "{} in {}: {} table={} requests={} waiting={} claims={} memory={}MB",
        s.id,
        s.failure_domain,
        s.phase,
        s.table_version,
        s.requests,
        s.waiting,
        s.claims,
        s.memory_bytes / 1_000_000
    );
    for (domain, view) in &s.failure_domains {
        println!("  {domain}: {view}");
    }
    for b in s.boxes.iter().filter(|b| b.state != BoxState::Live) {
        println!("  {} is {:?}", b.id, b.state);
    }
}
