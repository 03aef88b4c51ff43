use {
    super::{CliError, block_on, demo_world::*, finish, start_logs},
    crate::{
        app::Score,
        conf::LogSettings,
        http::{HttpClient, request},
        names::*,
    },
    bytes::Bytes,
    http::{HeaderMap, HeaderValue},
    pico_args::Arguments,
    serde_json::{Value, json as value},
    std::{collections::BTreeMap, net::SocketAddr, time::Duration},
};

const CALL_TIMEOUT: Duration = Duration::from_secs(30);
/// Time between the announcement of a reclaim and the stop of the engine.
const RECLAIM_NOTICE_MS: u64 = 2_000;
const RECLAIM_INTERVAL: Duration = Duration::from_secs(20);
const FIGURES_INTERVAL: Duration = Duration::from_secs(5);
/// Pause after each request of the load, per daemon.
const LOAD_PAUSE: Duration = Duration::from_millis(100);

/// Runs `demo`.
pub fn demo(mut args: Arguments) -> Result<(), CliError> {
    let once = args.contains("--once");
    finish(args)?;
    let logs = LogSettings {
        level: if once {
            log::LevelFilter::Warn
        } else {
            log::LevelFilter::Info
        },
        ..LogSettings::default()
    };
    start_logs(&logs).map_err(|e| CliError::Failed(e.to_string()))?;
    block_on(async {
        let world = DemoWorld::start().await?;
        if once {
            return run_once(&world).await;
        }
        run_until_stopped(&world).await
    })
}

/// Makes one call of each kind and prints the score of each policy.
async fn run_once(world: &DemoWorld) -> Result<(), CliError> {
    let [a, b, _] = &callers(world)[..] else {
        return Err(CliError::Failed("expected three daemons".to_string()));
    };
    println!(
        "table in force. version={}",
        world.daemons[0].world().active_table().version
    );
    let completion = value!({
        "model": "assistant",
        "messages": [{ "role": "user", "content": "Where is the retry budget worked out?" }],
        "max_tokens": 12,
    });
    print_response(
        "model",
        &call(*a, "/v1/chat/completions", &completion, None).await?,
    );
    let key = RequestId::fresh();
    print_response(
        "lookup",
        &call(
            *b,
            "/lookup/symbols",
            &value!({ "name": "RetryBudget" }),
            None,
        )
        .await?,
    );
    let order = value!({ "item": "umbrella" });
    print_response(
        "release code",
        &call(*a, "/codes/issue", &order, Some(key)).await?,
    );
    print_response(
        "the same key at another box",
        &call(*b, "/codes/issue", &order, Some(key)).await?,
    );
    print_figures(world);
    Ok(())
}

/// Sends a constant load and reclaims engines at intervals until SIGINT.
async fn run_until_stopped(world: &DemoWorld) -> Result<(), CliError> {
    let callers = callers(world);
    println!("Platform at {}, callers at {callers:?}.\n", world.platform);
    println!(
        "  curl -N http://{}/v1/chat/completions -H 'Authorization: Bearer {DEMO_TOKEN}' \\\n    \
         -d '{{\"model\":\"assistant\",\"stream\":true,\"messages\":[{{\"role\":\"user\",\"content\":\"hello\"}}]}}'\n",
        callers[0]
    );
    println!(
        "  SADDLEPULLEY_TOKEN={DEMO_OPERATOR_TOKEN} saddlepulley status --at {}\n",
        operators(world)
    );
    for addr in callers {
        tokio::spawn(async move {
            loop {
                let completion =
                    value!({ "model": "assistant", "prompt": "a little load", "max_tokens": 100 });
                let _ = call(addr, "/v1/completions", &completion, None).await;
                tokio::time::sleep(LOAD_PAUSE).await;
            }
        });
    }
    let mut reclaims = tokio::time::interval(RECLAIM_INTERVAL);
    let mut figures = tokio::time::interval(FIGURES_INTERVAL);
    reclaims.tick().await;
    let mut reclaimable = world
        .engines
        .iter()
        .filter(|(name, _)| !name.ends_with("-1"));
    loop {
        tokio::select! {
            _ = reclaims.tick() => {
                let Some((name, _)) = reclaimable.next() else { continue };
                println!("reclaiming {name} with {RECLAIM_NOTICE_MS} ms of notice");
                world.reclaim(&[name], RECLAIM_NOTICE_MS).await?;
                tokio::time::sleep(Duration::from_millis(RECLAIM_NOTICE_MS)).await;
                world.stop_engine(name);
            }
            _ = figures.tick() => print_figures(world),
            _ = tokio::signal::ctrl_c() => return Ok(()),
        }
    }
}

fn callers(world: &DemoWorld) -> Vec<SocketAddr> {
    let addr = |d: &crate::app::Daemon| d.world().settings.listen.callers;
    world.daemons.iter().map(addr).collect()
}

fn operators(world: &DemoWorld) -> String {
    let addr = |d: &crate::app::Daemon| d.world().settings.listen.operators.to_string();
    let addrs: Vec<String> = world.daemons.iter().map(addr).collect();
    addrs.join(",")
}

async fn call(
    at: SocketAddr,
    path: &str,
    body: &Value,
    key: Option<RequestId>,
) -> Result<Bytes, CliError> {
    let mut headers = HeaderMap::new();
    let bearer = HeaderValue::from_str(&format!("Bearer {DEMO_TOKEN}"));
    if let Ok(bearer) = bearer {
        headers.insert("authorization", bearer);
    }
    if let Some(Ok(key)) = key.map(|k| HeaderValue::from_str(&k.to_string())) {
        headers.insert("idempotency-key", key);
    }
    let req = request("POST", at, path, &headers, body.to_string().into())?;
    Ok(HttpClient::default().call(req, CALL_TIMEOUT).await?)
}

fn print_response(title: &str, body: &Bytes) {
    println!("{title}: {}", String::from_utf8_lossy(body));
}

/// Prints the score of each policy, summed over all daemons.
fn print_figures(world: &DemoWorld) {
    let mut by_policy: BTreeMap<PolicyName, Score> = BTreeMap::new();
    for daemon in &world.daemons {
        for (key, score) in daemon.world().score.lock().total() {
            by_policy.entry(key.policy).or_default().add(&score);
        }
    }
    for (policy, s) in by_policy {
        let cost = s
            .cost_at_target()
            .map_or("-".to_string(), |c| format!("{c:.1}"));
        println!(
            "policy={policy} requests={} whole={} on_target={} cost_at_target_micros={cost} recomputed_tokens={}",
            s.requests, s.whole, s.on_target, s.recomputed_tokens
        );
    }
}
