use {
    super::{CliError, table_command::publish},
    crate::{
        app::Daemon, caller::token_hash, conf::Settings, contracts::TableFile, http::HttpClient,
        provider::PlatformHttp,
    },
    saddlepulley_standin::{
        engine::{Engine, EngineConfig},
        http::ServerHandle,
        plain::{Plain, PlainConfig},
        platform::Platform,
    },
    serde_json::{Value, json as value},
    std::{net::SocketAddr, time::Duration},
};

/// The demo's table, with a comment for each key; it is also the default table.
pub const DEMO_TABLE: &str = include_str!("demo-table.toml");
/// Bearer token of the demo's callers.
pub const DEMO_TOKEN: &str = "demo-acme";
/// Bearer token of the demo's operators.
pub const DEMO_OPERATOR_TOKEN: &str = "demo-operator";

const DOMAINS: [&str; 3] = ["txc-a", "txc-b", "txc-c"];
const ENGINES_PER_DOMAIN: usize = 3;
const CONTROL_TIMEOUT: Duration = Duration::from_secs(2);

/// Stand-ins for the platform and the upstreams, and daemons, all in this process.
pub struct DemoWorld {
    /// Address of the platform.
    pub platform: SocketAddr,
    /// One daemon per failure domain.
    pub daemons: Vec<Daemon>,
    /// Names and addresses of the engines.
    pub engines: Vec<(String, SocketAddr)>,
    standins: Vec<ServerHandle>,
}

impl DemoWorld {
    /// Starts the platform, the upstreams and the daemons, publishes the table, and waits until
    /// all daemons are ready.
    pub async fn start() -> Result<Self, CliError> {
        let any_port = SocketAddr::from(([127, 0, 0, 1], 0));
        let platform = Platform::start(any_port).await?;
        let mut world = Self {
            platform: platform.addr(),
            daemons: Vec::new(),
            engines: Vec::new(),
            standins: vec![platform],
        };
        let boxes = world.start_upstreams(any_port).await?;
        world.control("boxes", &value!(boxes)).await?;
        let log = PlatformHttp::new(world.platform);
        publish(&log, &TableFile::parse("demo-table.toml", DEMO_TABLE)?).await?;
        world.start_daemons().await?;
        world.wait_ready().await;
        Ok(world)
    }

    /// Lets the platform announce that it reclaims boxes after a notice.
    pub async fn reclaim(&self, boxes: &[&str], notice_ms: u64) -> Result<(), CliError> {
        let order = value!({ "boxes": boxes, "notice_ms": notice_ms });
        self.control("reclaim", &order).await
    }

    /// Stops an engine, as the reclaim of its box does.
    pub fn stop_engine(&self, name: &str) {
        let addr = self
            .engines
            .iter()
            .find(|(n, _)| n == name)
            .map(|(_, a)| *a);
        for standin in self.standins.iter().filter(|s| Some(s.addr()) == addr) {
            standin.stop();
        }
    }

    async fn start_upstreams(&mut self, any_port: SocketAddr) -> Result<Vec<Value>, CliError> {
        let mut boxes = Vec::new();
        for domain in DOMAINS {
            for n in 1..=ENGINES_PER_DOMAIN {
                let name = format!("{domain}-engine-{n}");
                let cfg = EngineConfig {
                    name: name.clone(),
                    ..EngineConfig::default()
                };
                let engine = Engine::start(any_port, cfg).await?;
                let class = if n == 1 { "on-demand" } else { "reclaimable" };
                boxes.push(box_entry(
                    &name,
                    domain,
                    "engine",
                    "assistant",
                    class,
                    &engine,
                ));
                self.engines.push((name, engine.addr()));
                self.standins.push(engine);
            }
            for service in ["lookup", "codes"] {
                let name = format!("{domain}-{service}");
                let cfg = PlainConfig {
                    name: name.clone(),
                    work_ms: 3,
                    checks_fence: service == "codes",
                };
                let plain = Plain::start(any_port, cfg).await?;
                boxes.push(box_entry(
                    &name,
                    domain,
                    "plain",
                    service,
                    "on-demand",
                    &plain,
                ));
                self.standins.push(plain);
            }
        }
        Ok(boxes)
    }

    async fn start_daemons(&mut self) -> Result<(), CliError> {
        let mut ports = Vec::new();
        for _ in DOMAINS {
            ports.push([free_addr()?, free_addr()?, free_addr()?]);
        }
        let seeds: Vec<String> = ports.iter().map(|p| format!("\"{}\"", p[1])).collect();
        let seeds = seeds.join(", ");
        for (domain, [callers, peers, operators]) in DOMAINS.iter().zip(&ports) {
            let text = format!(
                "[box]\nid = \"{domain}-1\"\nfailure_domain = \"{domain}\"\n\
                 [listen]\ncallers = \"{callers}\"\npeers = \"{peers}\"\noperators = \"{operators}\"\n\
                 [platform]\naddress = \"{}\"\n\
                 [peers]\nseeds = [{seeds}]\nplain = true\n\
                 [operators]\ntoken_sha256 = \"{}\"\n",
                self.platform,
                token_hash(DEMO_OPERATOR_TOKEN)
            );
            let settings = Settings::parse("demo", &text)?;
            self.daemons.push(Daemon::start(settings).await?);
        }
        Ok(())
    }

    async fn wait_ready(&self) {
        for daemon in &self.daemons {
            let mut phase = daemon.world().phase.subscribe();
            let _ = phase.wait_for(|_| daemon.world().is_ready()).await;
        }
        // A request is copied to another box before its answer is shown, so every daemon has to
        // know the others before the first request.
        for daemon in &self.daemons {
            while daemon.world().holder_candidates().len() + 1 < DOMAINS.len() {
                tokio::time::sleep(Duration::from_millis(20)).await;
            }
        }
    }

    async fn control(&self, command: &str, order: &Value) -> Result<(), CliError> {
        let path = format!("/control/{command}");
        let body = order.to_string();
        let client = HttpClient::default();
        client
            .post(self.platform, &path, body, CONTROL_TIMEOUT)
            .await?;
        Ok(())
    }
}

fn box_entry(
    name: &str,
    domain: &str,
    kind: &str,
    service: &str,
    class: &str,
    running: &ServerHandle,
) -> Value {
    let price = if class == "on-demand" { 900 } else { 300 };
    value!({
        "id": name,
        "incarnation": 1,
        "state": "live",
        "kind": kind,
        "failure_domain": domain,
        "address": running.addr(),
        "service": service,
        "class": class,
        "price_micros": price,
        "checks_fence": service == "codes",
    })
}

fn free_addr() -> Result<SocketAddr, CliError> {
    let listener = std::net::TcpListener::bind(("127.0.0.1", 0))?;
    Ok(listener.local_addr()?)
}
