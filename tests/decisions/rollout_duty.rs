//! The records that the leader of rollouts writes to a status store, which may reject their numbers
//! and be taken over.

use {
    crate::support,
    async_trait::async_trait,
    parking_lot::Mutex,
    saddlepulley::{
        cluster::*,
        gateway::Gateway,
        rollouts::{Rollout, RolloutOrder, RolloutState, RolloutTable},
    },
    std::sync::Arc,
};

#[derive(Debug, Default)]
struct TestStore {
    calls: Mutex<Vec<String>>,
    written: Mutex<Vec<(u64, u64, RolloutState)>>,
    /// The number that the store expects next, if it is to reject another one.
    expected: Mutex<Option<u64>>,
    /// The records in the store before the first write.
    stored: Vec<Rollout>,
}

#[async_trait]
impl RolloutStatusStore for TestStore {
    async fn take_over(&self, fence: u64) -> Result<(), BackendError> {
        self.calls.lock().push(format!("take over {fence}"));
        Ok(())
    }

    async fn read(&self) -> Result<Vec<Rollout>, BackendError> {
        self.calls.lock().push("read".into());
        Ok(self.stored.clone())
    }

    async fn write(
        &self,
        rollout: &Rollout,
        fence: u64,
        number: u64,
    ) -> Result<WriteOutcome, BackendError> {
        self.calls.lock().push(format!("write {number}"));
        let expected = self.expected.lock().take();
        if let Some(expected) = expected.filter(|expected| *expected != number) {
            return Ok(WriteOutcome::Renumber(expected));
        }
        let taken = (fence, number, rollout.state);
        self.written.lock().push(taken);
        Ok(WriteOutcome::Taken)
    }
}

fn gateway() -> Gateway {
    let gateway = support::gateway("");
    gateway.apply_rollout_order(&RolloutOrder {
        service: "s".into(),
        target: "v2".into(),
        deadline_s: 30.0,
        offset: 4,
    });
    gateway
}

/// Guards against a former leader that writes an outcome after the next leader has read the records:
/// the operator would read two different outcomes.
#[tokio::test]
async fn the_status_store_is_taken_over_before_it_is_read_and_once_per_fence() {
    let (store, gateway) = (Arc::new(TestStore::default()), gateway());
    let mut duty = RolloutDuty::new(store.clone());
    duty.run_due_steps(&gateway, 7).await.unwrap();
    duty.run_due_steps(&gateway, 7).await.unwrap();
    let calls = store.calls.lock().clone();
    assert_eq!(calls, ["take over 7", "read", "write 1"]);
    duty.run_due_steps(&gateway, 9).await.unwrap();
    let calls = store.calls.lock()[3..].to_vec();
    assert_eq!(calls, ["take over 9", "read", "write 1"]);
}

#[tokio::test]
async fn a_record_with_a_rejected_number_is_written_under_the_expected_one() {
    let (store, gateway) = (Arc::new(TestStore::default()), gateway());
    *store.expected.lock() = Some(0);
    let mut duty = RolloutDuty::new(store.clone());
    duty.run_due_steps(&gateway, 7).await.unwrap();
    assert!(store.written.lock().is_empty());
    duty.run_due_steps(&gateway, 7).await.unwrap();
    let written = store.written.lock().clone();
    assert_eq!(written, [(7, 0, RolloutState::InProgress)]);
}

#[tokio::test]
async fn without_a_rollout_the_status_store_is_not_called() {
    let (store, gateway) = (Arc::new(TestStore::default()), gateway());
    *gateway.rollouts.lock() = RolloutTable::default();
    let mut duty = RolloutDuty::new(store.clone());
    duty.run_due_steps(&gateway, 7).await.unwrap();
    assert!(store.calls.lock().is_empty());
}

/// Guards against a rollout that stands still: a record with numbers that no leader has made outranked all steps.
#[tokio::test]
async fn a_written_record_that_no_leader_has_made_does_not_stop_a_rollout() {
    for (fence, step) in [(u64::MAX, 1), (8, 1), (3, u32::MAX)] {
        let gateway = gateway();
        let odd = Rollout {
            fence,
            step,
            started_ms: u64::MAX,
            ..gateway.rollouts.lock().get("s").cloned().unwrap()
        };
        let store = Arc::new(TestStore {
            stored: vec![odd],
            ..TestStore::default()
        });
        let mut duty = RolloutDuty::new(store.clone());
        duty.run_due_steps(&gateway, 7).await.unwrap();
        duty.run_due_steps(&gateway, 7).await.unwrap();
        let written = store.written.lock().clone();
        assert_eq!(
            written,
            [(7, 1, RolloutState::InProgress)],
            "{fence} {step}"
        );
        let known = gateway.rollouts.lock().get("s").map(|r| r.fence);
        assert_eq!(known, Some(7), "{fence} {step}");
    }
}
