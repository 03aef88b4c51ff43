use {
    super::World,
    crate::{engine::*, names::*, policy::*},
    std::{collections::BTreeMap, net::SocketAddr},
};

/// Time after an order to load a model before the order is repeated, in milliseconds.
const ORDER_RETRY_MS: u64 = 30_000;

/// Orders engines that report no model, or another one, to load the model of their service.
#[derive(Debug, Default)]
pub struct ModelLoads {
    /// Time of the last order in Unix milliseconds, by box and incarnation.
    ordered: BTreeMap<(BoxId, u64), u64>,
}

/// An engine that hasn't loaded the model of its service.
struct Unloaded {
    id: BoxId,
    incarnation: u64,
    address: SocketAddr,
    service: ServiceName,
    checks_fence: bool,
}

impl ModelLoads {
    /// Orders the missing models, within the rate limit of the weight store.
    ///
    /// `may_act` returns the fencing token while this daemon holds the duty's
    /// lease. An engine that doesn't check fencing tokens gets an order only
    /// once the lease is `unfenced_allowed`, that is, when an earlier lease holder that
    /// was paused can't send orders any more.
    pub async fn step(
        &mut self,
        world: &World,
        may_act: &impl Fn() -> Option<u64>,
        unfenced_allowed: bool,
    ) {
        for engine in unloaded_engines(world) {
            let key = (engine.id.clone(), engine.incarnation);
            let ordered_ms = self.ordered.get(&key).copied().unwrap_or(0);
            let waits = now_ms() < ordered_ms + ORDER_RETRY_MS;
            if waits || !(unfenced_allowed || engine.checks_fence) {
                continue;
            }
            let model = engine.service.as_str();
            if world.backends.weights.pull(model).await.is_err() {
                // The rate limit of the weight store is reached: the remaining engines wait as well.
                return;
            }
            let Some(fence) = may_act() else { return };
            let order = EngineOrder {
                kind: EngineOrderKind::LoadModel,
                value: model.to_string(),
                fence,
            };
            match world.backends.engine.order(engine.address, &order).await {
                Ok(()) => {
                    log::info!(target: "duties", "model load ordered. box={} model={model} fence={fence}", engine.id);
                    self.ordered.insert(key, now_ms());
                }
                Err(e) => log::debug!(target: "duties", "model load order failed. error=\"{e}\""),
            }
        }
    }
}

fn unloaded_engines(world: &World) -> Vec<Unloaded> {
    let boxes = world.boxes.read();
    let stats = world.stats.lock();
    boxes
        .iter()
        .filter(|b| b.kind == BoxKind::Engine && b.state == BoxState::Live)
        .filter(|b| b.failure_domain == *world.my_domain())
        .filter(|b| {
            let load = stats.get(&b.id).and_then(|s| s.load.as_ref());
            load.is_some_and(|l| l.model != b.service.as_str())
        })
        .map(|b| Unloaded {
            id: b.id.clone(),
            incarnation: b.incarnation,
            address: b.address,
            service: b.service.clone(),
            checks_fence: b.checks_fence,
        })
        .collect()
}
