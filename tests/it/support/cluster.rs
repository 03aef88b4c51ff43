use {
    super::*,
    saddlepulley::{caller::Status, caller::token_hash},
    saddlepulley_standin::{
        engine::{Engine, EngineConfig},
        http::ServerHandle,
        plain::{Plain, PlainConfig},
        platform::Platform,
    },
    serde_json::{Value, json},
    std::{
        collections::BTreeMap,
        fs,
        net::{IpAddr, SocketAddr, TcpListener},
        sync::atomic::{AtomicU32, Ordering},
        time::Duration,
    },
    tempfile::TempDir,
};

pub const TOKEN: &str = "caller-token";
pub const OTHER_TOKEN: &str = "other-token";
pub const OPERATOR_TOKEN: &str = "operator-token";

/// The size and the settings of a test cluster.
pub struct Plan {
    pub domains: usize,
    pub daemons_per_domain: usize,
    pub engines_per_domain: usize,
    pub engine: EngineConfig,
    pub plain_work_ms: u64,
    pub checks_fence: bool,
    /// Fields of every row of the table, as TOML.
    pub row: String,
    /// Lines for the `[peers]` section of every daemon's settings.
    pub peers: String,
    /// Lines for the `[trial]` section of every daemon's settings, which turn mechanisms off.
    pub trial: String,
    /// Connections between daemons use TLS.
    pub tls: bool,
    /// Class and price of a domain's engines, assigned in turn.
    pub classes: Vec<(&'static str, u64)>,
}

impl Default for Plan {
    fn default() -> Self {
        Self {
            domains: 3,
            daemons_per_domain: 1,
            engines_per_domain: 2,
            engine: EngineConfig {
                slots: 64,
                step_ms: 10.0,
                step_ms_per_request: 0.0,
                ..EngineConfig::default()
            },
            plain_work_ms: 5,
            checks_fence: false,
            row: "rate = 1000\nconcurrency = 1000\n".to_string(),
            peers: "heartbeat_ms = 200\nsilence_ms = 1000\n".to_string(),
            trial: String::new(),
            tls: false,
            classes: vec![("reclaimable", 300)],
        }
    }
}

/// An upstream stand-in behind its proxy.
pub struct UpstreamStandin {
    pub name: String,
    pub domain: usize,
    pub service: String,
    pub price_micros: u64,
    pub proxy: FaultProxy,
    pub running: ServerHandle,
    /// The stand-in's counts, read by the benchmarks before they stop it.
    pub last: Value,
}

/// A test cluster: stand-ins in this process, daemons as processes of their own, and fault
/// proxies in front of the platform, the upstreams and the peer addresses of the daemons.
pub struct Cluster {
    pub platform: ServerHandle,
    /// The proxy through which each domain's daemons reach the platform, by domain.
    pub platform_proxies: Vec<FaultProxy>,
    pub daemons: Vec<DaemonProcess>,
    /// The proxy in front of each daemon's peer address, in the order of `daemons`.
    pub peer_proxies: Vec<FaultProxy>,
    pub upstreams: Vec<UpstreamStandin>,
    pub client: test_client::Client,
    pub dir: TempDir,
    pub authority: Authority,
}

pub fn domain_name(n: usize) -> String {
    format!("zone-{}", (b'a' + n as u8) as char)
}

/// The source address of the connections that a domain's daemons open.
pub fn domain_ip(n: usize) -> IpAddr {
    IpAddr::from([127, 0, 1, 1 + n as u8])
}

impl Cluster {
    pub async fn start(plan: Plan) -> Self {
        let mut cluster = Self::prepare(&plan).await;
        cluster.start_upstreams(&plan).await;
        cluster.publish(&default_table(&plan)).await.unwrap();
        for daemon in &mut cluster.daemons {
            daemon.start();
        }
        cluster.wait_ready().await;
        cluster
    }

    async fn prepare(plan: &Plan) -> Self {
        let any = SocketAddr::from(([127, 0, 0, 1], 0));
        let platform = Platform::start(any).await.unwrap();
        let mut platform_proxies = Vec::new();
        for _ in 0..plan.domains {
            platform_proxies.push(FaultProxy::start(platform.addr()).await);
        }
        let mut cluster = Self {
            platform,
            platform_proxies,
            daemons: Vec::new(),
            peer_proxies: Vec::new(),
            upstreams: Vec::new(),
            client: test_client::Client::default(),
            dir: TempDir::new().unwrap(),
            authority: Authority::default(),
        };
        let mut peer_addrs = Vec::new();
        for n in 0..plan.domains * plan.daemons_per_domain {
            let domain = n % plan.domains;
            let peers = free_addr(domain_ip(domain));
            let proxy = FaultProxy::start(peers).await;
            peer_addrs.push((domain, peers, proxy.addr()));
            cluster.peer_proxies.push(proxy);
        }
        let seeds: Vec<String> = peer_addrs.iter().map(|p| format!("\"{}\"", p.2)).collect();
        for (n, (domain, peers, advertised)) in peer_addrs.iter().enumerate() {
            let id = format!("{}-entry-{n}", domain_name(*domain));
            let callers = free_addr(domain_ip(*domain));
            let operators = free_addr(domain_ip(*domain));
            let text = format!(
                "[box]\nid = \"{id}\"\nfailure_domain = \"{}\"\n\
                 [listen]\ncallers = \"{callers}\"\npeers = \"{peers}\"\n\
                 peers_advertised = \"{advertised}\"\noperators = \"{operators}\"\n\
                 [platform]\naddress = \"{}\"\n\
                 [peers]\nseeds = [{}]\n{}\n{}\n\
                 [operators]\ntoken_sha256 = \"{}\"\n[logs]\nlevel = \"debug\"\n[trial]\n{}\n",
                domain_name(*domain),
                cluster.platform_proxies[*domain].addr(),
                seeds.join(", "),
                cluster.link_settings(plan, &id),
                plan.peers,
                token_hash(OPERATOR_TOKEN),
                plan.trial,
            );
            let path = cluster.dir.path().join(format!("{id}.toml"));
            fs::write(&path, text).unwrap();
            let daemon = DaemonProcess::new(&id, *domain, callers, operators, path);
            cluster.daemons.push(daemon);
        }
        cluster
    }

    /// Returns the `[peers]` lines for plain connections, or for TLS with a new certificate of
    /// this cluster's authority.
    fn link_settings(&self, plan: &Plan, id: &str) -> String {
        if !plan.tls {
            return "plain = true".to_string();
        }
        let file = |name: &str| self.dir.path().join(name);
        if !file("ca.pem").exists() {
            self.authority.write_ca(&file("ca.pem"));
        }
        let (cert, key) = (file(&format!("{id}.pem")), file(&format!("{id}.key")));
        self.authority.write_cert(&cert, &key);
        format!(
            "tls_cert = {cert:?}\ntls_key = {key:?}\ntls_ca = {:?}",
            file("ca.pem")
        )
    }

    async fn start_upstreams(&mut self, plan: &Plan) {
        for domain in 0..plan.domains {
            for n in 0..plan.engines_per_domain {
                let name = format!("{}-engine-{n}", domain_name(domain));
                let class = plan.classes[n % plan.classes.len()];
                self.add_engine(plan, domain, &name, class).await;
            }
            let name = format!("{}-codes", domain_name(domain));
            let any = SocketAddr::from(([127, 0, 0, 1], 0));
            let cfg = PlainConfig {
                name: name.clone(),
                work_ms: plan.plain_work_ms,
                checks_fence: plan.checks_fence,
            };
            let running = Plain::start(any, cfg).await.unwrap();
            let what = json!({
                "kind": "plain", "service": "codes", "class": "on-demand", "price_micros": 300,
                "checks_fence": plan.checks_fence,
            });
            self.add_upstream(running, domain, &name, what).await;
        }
    }

    pub async fn add_engine(&mut self, plan: &Plan, domain: usize, name: &str, class: (&str, u64)) {
        let cfg = EngineConfig {
            name: name.to_string(),
            ..plan.engine.clone()
        };
        let any = SocketAddr::from(([127, 0, 0, 1], 0));
        let running = Engine::start(any, cfg).await.unwrap();
        let what = json!({
            "kind": "engine", "service": "assistant", "class": class.0, "price_micros": class.1,
        });
        self.add_upstream(running, domain, name, what).await;
    }

    async fn add_upstream(
        &mut self,
        running: ServerHandle,
        domain: usize,
        name: &str,
        what: Value,
    ) {
        let proxy = FaultProxy::start(running.addr()).await;
        let mut listed = json!({
            "id": name, "incarnation": 1, "state": "live",
            "failure_domain": domain_name(domain), "address": proxy.addr(),
        });
        for (field, value) in what.as_object().unwrap() {
            listed[field] = value.clone();
        }
        self.control("boxes", &json!([listed])).await;
        self.upstreams.push(UpstreamStandin {
            name: name.to_string(),
            domain,
            service: what["service"].as_str().unwrap().to_string(),
            price_micros: what["price_micros"].as_u64().unwrap(),
            proxy,
            running,
            last: Value::Null,
        });
    }

    /// Waits until each daemon is ready and lists all daemons and upstreams.
    pub async fn wait_ready(&self) {
        let running = self.daemons.len();
        let upstreams = self.upstreams.len();
        for daemon in &self.daemons {
            self.wait_status(daemon, "ready and complete", |s| {
                let live = |kind| {
                    let is = |b: &&saddlepulley::policy::BoxFact| {
                        (b.kind == saddlepulley::policy::BoxKind::Entry) == kind
                    };
                    s.boxes.iter().filter(is).count()
                };
                s.phase == "Ready" && live(true) >= running && live(false) >= upstreams
            })
            .await;
        }
    }

    /// Waits up to 30 s until the status of a daemon satisfies `good`.
    ///
    /// # Panics
    ///
    /// Panics with the last status and the log if it does not.
    pub async fn wait_status(
        &self,
        daemon: &DaemonProcess,
        what: &str,
        good: impl Fn(&Status) -> bool,
    ) {
        let end = tokio::time::Instant::now() + Duration::from_secs(30);
        let mut last = None;
        while tokio::time::Instant::now() < end {
            last = self.status(daemon).await;
            if last.as_ref().is_some_and(&good) {
                return;
            }
            tokio::time::sleep(Duration::from_millis(50)).await;
        }
        panic!(
            "{} was not {what} within 30 s: {last:?}\n{}",
            daemon.id,
            daemon.log()
        );
    }

    /// Returns the status of a daemon, or `None` if it did not answer.
    pub async fn status(&self, daemon: &DaemonProcess) -> Option<Status> {
        let rep = self
            .client
            .send(
                "GET",
                daemon.operators,
                "/status",
                &[("authorization", &bearer(OPERATOR_TOKEN))],
                "",
            )
            .await
            .ok()?;
        serde_json::from_slice(&rep.body).ok()
    }

    /// Publishes a table file and returns the new version.
    pub async fn publish(&self, table: &str) -> Result<u64, saddlepulley::cli::CliError> {
        let file = saddlepulley::contracts::TableFile::parse("test", table).unwrap();
        let log = saddlepulley::provider::PlatformHttp::new(self.platform.addr());
        saddlepulley::cli::publish(&log, &file).await
    }

    /// Sends a control order to the platform stand-in; a null order reads instead.
    pub async fn control(&self, what: &str, order: &Value) -> Value {
        self.control_at(self.platform.addr(), what, order).await
    }

    /// Sends a control order to the stand-in at `at`; a null order reads instead.
    pub async fn control_at(&self, at: SocketAddr, what: &str, order: &Value) -> Value {
        let path = format!("/control/{what}");
        let (method, body) = if order.is_null() {
            ("GET", String::new())
        } else {
            ("POST", order.to_string())
        };
        let rep = self
            .client
            .send(method, at, &path, &[], &body)
            .await
            .unwrap();
        assert_eq!(rep.status, 200, "{:?}", rep.body);
        serde_json::from_slice(&rep.body).unwrap_or(Value::Null)
    }

    /// Makes the platform announce the reclaim of these boxes, with the given notice period.
    pub async fn reclaim(&self, names: &[&str], notice_ms: u64) {
        let order = json!({ "boxes": names, "notice_ms": notice_ms });
        self.control("reclaim", &order).await;
    }

    /// Returns the number of executions by key, over all plain services.
    pub async fn executions(&self) -> BTreeMap<String, u64> {
        let mut all = BTreeMap::new();
        for u in self.upstreams.iter().filter(|u| u.service == "codes") {
            let counts = self
                .control_at(u.running.addr(), "counts", &Value::Null)
                .await;
            for (key, n) in counts.as_object().unwrap() {
                *all.entry(key.clone()).or_default() += n.as_u64().unwrap();
            }
        }
        all
    }

    pub fn caller_addrs(&self) -> Vec<SocketAddr> {
        self.daemons.iter().map(|d| d.callers).collect()
    }

    /// Adds the daemons' boxes to the platform's box list, so that they can be reclaimed.
    pub async fn list_entry_boxes(&self) {
        let mut boxes = Vec::new();
        for (daemon, proxy) in self.daemons.iter().zip(&self.peer_proxies) {
            let incarnation = self.status(daemon).await.unwrap().incarnation;
            boxes.push(json!({
                "id": daemon.id, "incarnation": incarnation, "state": "live", "kind": "entry",
                "failure_domain": domain_name(daemon.domain), "address": proxy.addr(),
                "service": "", "class": "reclaimable", "price_micros": 10,
            }));
        }
        self.control("boxes", &Value::Array(boxes)).await;
    }
}

pub fn bearer(token: &str) -> String {
    format!("Bearer {token}")
}

pub fn default_table(plan: &Plan) -> String {
    let mut text = String::new();
    for (name, token) in [("acme", TOKEN), ("other", OTHER_TOKEN)] {
        text += &format!(
            "[[account]]\nname = \"{name}\"\ntoken_sha256 = [\"{}\"]\n",
            token_hash(token)
        );
    }
    for domain in 0..plan.domains {
        for service in ["assistant", "codes"] {
            text += &format!(
                "[[row]]\naccount = \"acme\"\nservice = \"{service}\"\nfailure_domain = \"{}\"\n{}\n",
                domain_name(domain),
                plan.row
            );
        }
    }
    text
}

/// Returns a free address whose port is below the range of ephemeral ports, so that no outgoing
/// connection takes the port before the daemon binds it.
fn free_addr(ip: IpAddr) -> SocketAddr {
    const FIRST: u32 = 10_000;
    const PORTS: u32 = 20_000;
    static NEXT: AtomicU32 = AtomicU32::new(0);
    let start = std::process::id().wrapping_mul(977) % PORTS;
    loop {
        let n = NEXT.fetch_add(1, Ordering::SeqCst);
        let port = (FIRST + (start + n) % PORTS) as u16;
        if TcpListener::bind((ip, port)).is_ok() {
            return SocketAddr::new(ip, port);
        }
    }
}
