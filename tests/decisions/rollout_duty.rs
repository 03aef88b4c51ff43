//! The leader of roll-outs and what it writes, on a board that refuses numbers and is
//! taken over.

use {
    async_trait::async_trait,
    parking_lot::Mutex,
    saddlepulley::{
        cluster::*,
        conf::GatewaySettings,
        gateway::{Gateway, HeaderNames},
        rollouts::{Rollout, RolloutOrder, RolloutState, RolloutTable},
    },
    std::sync::Arc,
};

#[derive(Debug, Default)]
struct Board {
    calls: Mutex<Vec<String>>,
    written: Mutex<Vec<(u64, u64, RolloutState)>>,
    /// The number that it wants next, if another than it is given.
    wants: Mutex<Option<u64>>,
}

#[async_trait]
impl RolloutStatusStore for Board {
    async fn take_over(&self, fence: u64) -> Result<(), BackendError> {
        self.calls.lock().push(format!("take over {fence}"));
        Ok(())
    }

    async fn read(&self) -> Result<Vec<Rollout>, BackendError> {
        self.calls.lock().push("read".into());
        Ok(Vec::new())
    }

    async fn write(
        &self,
        rollout: &Rollout,
        fence: u64,
        number: u64,
    ) -> Result<WriteOutcome, BackendError> {
        self.calls.lock().push(format!("write {number}"));
        let wants = self.wants.lock().take();
        if let Some(wanted) = wants.filter(|wanted| *wanted != number) {
            return Ok(WriteOutcome::Renumber(wanted));
        }
        let taken = (fence, number, rollout.state);
        self.written.lock().push(taken);
        Ok(WriteOutcome::Taken)
    }
}

const SETTINGS: &str = r#"
[node]
name = "n"
zone = "a"
[listen]
clients = "127.0.0.1:1"
readiness = "127.0.0.1:2"
peers = "127.0.0.1:3"
[source]
kind = "file"
path = "/none"
"#;

fn gateway() -> Gateway {
    let settings = GatewaySettings::parse("settings", SETTINGS).unwrap();
    let gateway = Gateway::new(settings, HeaderNames::default(), 7);
    gateway.apply_rollout_order(&RolloutOrder {
        service: "s".into(),
        target: "v2".into(),
        deadline_s: 30.0,
        offset: 4,
    });
    gateway
}

/// A leader before could still write an outcome after the next one had read: the operator
/// then read two that differ.
#[tokio::test]
async fn the_board_is_taken_over_before_it_is_read_and_once_a_fence() {
    let (board, gateway) = (Arc::new(Board::default()), gateway());
    let mut duty = RolloutDuty::new(board.clone());
    duty.turn(&gateway, 7).await.unwrap();
    duty.turn(&gateway, 7).await.unwrap();
    let calls = board.calls.lock().clone();
    assert_eq!(calls, ["take over 7", "read", "write 1"]);
    duty.turn(&gateway, 9).await.unwrap();
    let calls = board.calls.lock()[3..].to_vec();
    assert_eq!(calls, ["take over 9", "read", "write 1"]);
}

#[tokio::test]
async fn a_record_that_is_out_of_order_is_written_under_the_wanted_number() {
    let (board, gateway) = (Arc::new(Board::default()), gateway());
    *board.wants.lock() = Some(0);
    let mut duty = RolloutDuty::new(board.clone());
    duty.turn(&gateway, 7).await.unwrap();
    assert!(board.written.lock().is_empty());
    duty.turn(&gateway, 7).await.unwrap();
    let written = board.written.lock().clone();
    assert_eq!(written, [(7, 0, RolloutState::InProgress)]);
}

#[tokio::test]
async fn without_a_roll_out_the_board_is_not_called() {
    let (board, gateway) = (Arc::new(Board::default()), gateway());
    *gateway.rollouts.lock() = RolloutTable::default();
    let mut duty = RolloutDuty::new(board.clone());
    duty.turn(&gateway, 7).await.unwrap();
    assert!(board.calls.lock().is_empty());
}
