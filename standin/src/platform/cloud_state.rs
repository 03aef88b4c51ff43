use {
    serde::{Deserialize, Serialize},
    std::{
        collections::BTreeMap,
        net::SocketAddr,
        time::{SystemTime, UNIX_EPOCH},
    },
};

/// An entry of the box list.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct ListedBox {
    /// Name of the box.
    pub id: String,
    /// Incarnation of the box.
    pub incarnation: u64,
    /// `live`, `leaving` or `gone`.
    pub state: String,
    /// When the cloud takes the box back, in Unix milliseconds; 0 if not known.
    #[serde(default)]
    pub leaves_at_ms: u64,
    /// `entry`, `engine` or `plain`.
    pub kind: String,
    /// Failure domain of the box.
    pub failure_domain: String,
    /// Address on which the box accepts calls.
    pub address: SocketAddr,
    /// Service that the box runs; empty for none.
    #[serde(default)]
    pub service: String,
    /// `reclaimable` or `on-demand`.
    pub class: String,
    /// Price in millionths of a currency unit a second.
    #[serde(default)]
    pub price_micros: u64,
    /// True if the box checks fencing tokens.
    #[serde(default)]
    pub checks_fence: bool,
}

/// A reclaim notice.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Notice {
    /// Sequence number of the notice.
    pub seq: u64,
    /// Name of the box.
    pub id: String,
    /// Incarnation of the box.
    pub incarnation: u64,
    /// When the cloud takes the box back, in Unix milliseconds.
    pub leaves_at_ms: u64,
}

/// An order for a box.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct BoxOrder {
    /// Idempotency token chosen by the daemon that orders: repeated orders with the same
    /// token count once.
    pub client_token: String,
    /// Fencing token of the lease under which the order is sent.
    pub fence: u64,
    /// Failure domain in which the box is to start.
    pub failure_domain: String,
    /// `reclaimable` or `on-demand`.
    pub class: String,
    /// Service that the box is to run.
    pub service: String,
}

/// The state of the cloud API and the box list.
#[derive(Debug, Default)]
pub struct CloudState {
    /// All boxes with the time of their last change in Unix milliseconds, by name.
    pub boxes: BTreeMap<String, (u64, ListedBox)>,
    /// State of each box before its last change, which the list shows while it lags.
    previous: BTreeMap<String, ListedBox>,
    /// All notices, by sequence number.
    pub notices: Vec<Notice>,
    /// Accepted orders.
    pub orders: Vec<BoxOrder>,
    /// Highest fencing token received for each failure domain.
    pub fences: BTreeMap<String, u64>,
    /// Delay after which a change appears in the box list, in milliseconds.
    pub list_lag_ms: u64,
    /// Box classes of which orders are refused.
    pub refused_classes: Vec<String>,
    /// Suppresses reclaim notices, as a fault to test.
    pub mute_notices: bool,
}

impl CloudState {
    /// Adds a box to the list, or replaces its entry.
    pub fn put(&mut self, b: ListedBox) {
        if let Some((_, old)) = self.boxes.get(&b.id) {
            self.previous.insert(b.id.clone(), old.clone());
        }
        self.boxes.insert(b.id.clone(), (now_ms(), b));
    }

    /// Returns the box list. For a box that changed less than `list_lag_ms` ago, its
    /// previous state is listed; a new box is left out.
    pub fn list(&self) -> Vec<ListedBox> {
        let visible_until_ms = now_ms().saturating_sub(self.list_lag_ms);
        self.boxes
            .values()
            .filter_map(|(at, b)| {
                if *at <= visible_until_ms {
                    return Some(b.clone());
                }
                self.previous.get(&b.id).cloned()
            })
            .collect()
    }

    /// Marks boxes as leaving and issues reclaim notices, unless these are muted.
    pub fn reclaim(&mut self, ids: &[String], notice_ms: u64) {
        let leaves_at_ms = now_ms() + notice_ms;
        for id in ids {
            let Some((_, b)) = self.boxes.get(id) else {
                continue;
            };
            let mut b = b.clone();
            b.state = "leaving".to_string();
            b.leaves_at_ms = leaves_at_ms;
            let incarnation = b.incarnation;
            self.put(b);
            if !self.mute_notices {
                self.notices.push(Notice {
                    seq: self.notices.len() as u64,
                    id: id.clone(),
                    incarnation,
                    leaves_at_ms,
                });
            }
        }
    }
}

/// Returns the time in Unix milliseconds.
pub fn now_ms() -> u64 {
    SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .map_or(0, |d| u64::try_from(d.as_millis()).unwrap_or(u64::MAX))
}
