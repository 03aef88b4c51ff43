use {
    super::*,
    saddlepulley::{caller::Status, contracts::TableFile, provider::PlatformHttp},
    std::{collections::BTreeMap, net::SocketAddr, sync::Arc, time::Duration},
    tokio::{sync::Mutex, task::JoinHandle},
};

/// Watches every daemon's version, over its restarts, and panics if one goes back.
pub struct VersionMonitor {
    task: JoinHandle<()>,
    fault: Arc<Mutex<Option<String>>>,
}

impl VersionMonitor {
    pub fn start(cluster: &Cluster) -> Self {
        let fault = Arc::new(Mutex::new(None));
        let at: Vec<SocketAddr> = cluster.daemons.iter().map(|d| d.operators).collect();
        let (client, seen_fault) = (cluster.client.clone(), fault.clone());
        let task = tokio::spawn(async move {
            let mut last: BTreeMap<SocketAddr, u64> = BTreeMap::new();
            let auth = bearer(OPERATOR_TOKEN);
            loop {
                for addr in &at {
                    let rep = client
                        .send("GET", *addr, "/status", &[("authorization", &auth)], "")
                        .await;
                    let Ok(rep) = rep else { continue };
                    let Ok(s) = serde_json::from_slice::<Status>(&rep.body) else {
                        continue;
                    };
                    // A daemon that isn't ready serves nobody by its table.
                    if s.phase != "Ready" {
                        continue;
                    }
                    let before = last.insert(*addr, s.table_version).unwrap_or(0);
                    if s.table_version < before {
                        let text =
                            format!("{} went from {before} back to {}", s.id, s.table_version);
                        *seen_fault.lock().await = Some(text);
                    }
                }
                tokio::time::sleep(Duration::from_millis(10)).await;
            }
        });
        Self { task, fault }
    }

    pub async fn stop(self) {
        self.task.abort();
        assert_eq!(*self.fault.lock().await, None);
    }
}

/// The table as the log has it, as a file's text.
pub async fn published_table(cluster: &Cluster) -> String {
    let log = PlatformHttp::new(cluster.platform.addr());
    for _ in 0..50 {
        if let Ok((table, _)) = saddlepulley::cli::read_table(&log).await {
            return TableFile::show(&table);
        }
        tokio::time::sleep(Duration::from_millis(100)).await;
    }
    panic!("the log never answered");
}

/// Changes the weight of one row.
pub fn with_weight(text: &str, row: usize, weight: usize) -> String {
    let mut n = 0;
    let lines = text.lines().map(|l| {
        if !l.starts_with("weight = ") {
            return l.to_string();
        }
        n += 1;
        if n == row + 1 {
            format!("weight = {weight}")
        } else {
            l.to_string()
        }
    });
    lines.collect::<Vec<_>>().join("\n")
}
