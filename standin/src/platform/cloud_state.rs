use {
    serde::{Deserialize, Serialize},
    std::{
        collections::BTreeMap,
        net::SocketAddr,
        time::{SystemTime, UNIX_EPOCH},
    },
};

/// A box as the box list shows it.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct ListedBox {
    /// The box's name.
    pub id: String,
    /// Which life of the box.
    pub incarnation: u64,
    /// `live`, `leaving` or `gone`.
    pub state: String,
    /// When it is taken, in Unix milliseconds; 0 if not known.
    #[serde(default)]
    pub leaves_at_ms: u64,
    /// `entry`, `engine` or `plain`.
    pub kind: String,
    /// The failure domain.
    pub failure_domain: String,
    /// Where it takes calls.
    pub address: SocketAddr,
    /// The service that it serves, or empty.
    #[serde(default)]
    pub service: String,
    /// `reclaimable` or `on-demand`.
    pub class: String,
    /// Price in millionths of a currency unit a second.
    #[serde(default)]
    pub price_micros: u64,
    /// Whether it checks fencing tokens.
    #[serde(default)]
    pub checks_fence: bool,
}

/// A reclaim notice.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Notice {
    /// Its place in the sequence of notices.
    pub seq: u64,
    /// The box.
    pub id: String,
    /// Which life of the box.
    pub incarnation: u64,
    /// When it is taken, in Unix milliseconds.
    pub leaves_at_ms: u64,
}

/// An order for a box.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct BoxOrder {
    /// The orderer's own name for the order; the same name orders once.
    pub client_token: String,
    /// The fencing token of the orderer's lease.
    pub fence: u64,
    /// The failure domain.
    pub failure_domain: String,
    /// `reclaimable` or `on-demand`.
    pub class: String,
    /// The service that the box shall serve.
    pub service: String,
}

/// What the cloud and the box list know.
#[derive(Debug, Default)]
pub struct CloudState {
    /// All boxes, with the time of their last change.
    pub boxes: BTreeMap<String, (u64, ListedBox)>,
    previous: BTreeMap<String, ListedBox>,
    /// All notices.
    pub notices: Vec<Notice>,
    /// Orders that were taken.
    pub orders: Vec<BoxOrder>,
    /// The highest fencing token of each failure domain.
    pub fences: BTreeMap<String, u64>,
    /// How long the box list lags, in milliseconds.
    pub list_lag_ms: u64,
    /// Classes that the cloud refuses for now.
    pub refused_classes: Vec<String>,
    /// Notices that are not sent, for trials.
    pub mute_notices: bool,
}

impl CloudState {
    /// Puts a box into the list, or changes it.
    pub fn put(&mut self, b: ListedBox) {
        if let Some((_, old)) = self.boxes.get(&b.id) {
            self.previous.insert(b.id.clone(), old.clone());
        }
        self.boxes.insert(b.id.clone(), (now_ms(), b));
    }

    /// Returns the list as it lags: a recent change isn't shown yet.
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

    /// Announces that boxes will be taken.
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
