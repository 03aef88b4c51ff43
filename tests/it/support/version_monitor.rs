use {
    super::*,
    saddlepulley::{caller::Status, contracts::TableFile, provider::PlatformHttp},
    std::{collections::BTreeMap, net::SocketAddr, sync::Arc, time::Duration},
    tokio::{sync::Mutex, task::JoinHandle},
};

/// Polls the table version of every daemon, across restarts, and records a daemon whose version
/// goes back.
pub struct VersionMonitor {
    task: JoinHandle<()>,
    fault: Arc<Mutex<Option<String>>>,
}

impl VersionMonitor {
    pub fn start(cluster: &Cluster) -> Self {
        let fault = Arc::new(Mutex::new(None));
        let at: Vec<SocketAddr> = cluster.daemons.iter().map(|d| d.operators).collect();
        let (client, recorded_fault) = (cluster.client.clone(), fault.clone());
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
                    // A daemon that is not ready serves no requests by its table.
                    if s.phase != "Ready" {
                        continue;
                    }
                    let before = last.insert(*addr, s.table_version).unwrap_or(0);
                    if s.table_version < before {
                        let text =
                            format!("{} went from {before} back to {}", s.id, s.table_version);
                        *recorded_fault.lock().await = Some(text);
                    }
                }
                tokio::time::sleep(Duration::from_millis(10)).await;
            }
        });
        Self { task, fault }
    }

    /// Stops polling.
    ///
    /// # Panics
    ///
    /// Panics if the version of a daemon went back.
    pub async fn stop(self) {
        self.task.abort();
        assert_eq!(*self.fault.lock().await, None);
    }
}

/// Reads the table from the log and returns it in the text form of a table file.
pub async fn published_table(cluster: &Cluster) -> String {
    let log = PlatformHttp::new(cluster.platform.addr());
    for _ in 0..50 {
        if let Ok((table, _)) = saddlepulley::cli::read_table(&log).await {
            return TableFile::show(&table);
        }
        tokio::time::sleep(Duration::from_millis(100)).await;
    }
    panic!("the platform's log did not answer in 50 attempts");
}

/// Returns the table file with the weight of one row, counted from 0, changed.
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
