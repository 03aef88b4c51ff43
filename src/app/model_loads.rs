use {
    super::World,
    crate::{engine::*, names::*, policy::*},
    std::{collections::BTreeMap, net::SocketAddr},
};

/// How long an order to load a model is given before it is given again, in milliseconds.
const PATIENCE_MS: u64 = 30_000;

/// Has models loaded on engines that report none or another.
#[derive(Debug, Default)]
pub struct ModelLoads {
    ordered: BTreeMap<(BoxId, u64), u64>,
}

/// An engine that lacks its model.
struct Unloaded {
    id: BoxId,
    incarnation: u64,
    address: SocketAddr,
    service: ServiceName,
    checks_fence: bool,
}

impl ModelLoads {
    /// Orders what is missing, within the weight store's rate.
    ///
    /// An engine that checks no fence is ordered only once the lease is
    /// `settled`: an earlier holder that was paused can't order any more.
    pub async fn step(&mut self, world: &World, may_act: &impl Fn() -> Option<u64>, settled: bool) {
        for engine in unloaded(world) {
            let key = (engine.id.clone(), engine.incarnation);
            let ordered_ms = self.ordered.get(&key).copied().unwrap_or(0);
            let waits = now_ms() < ordered_ms + PATIENCE_MS;
            if waits || !(settled || engine.checks_fence) {
                continue;
            }
            let model = engine.service.as_str();
            if world.backends.weights.pull(model).await.is_err() {
                // The store's rate is used up: the others wait too.
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
                    log::info!(target: "duties", "ordered a model. box={} model={model} fence={fence}", engine.id);
                    self.ordered.insert(key, now_ms());
                }
                Err(e) => log::debug!(target: "duties", "an order failed. error=\"{e}\""),
            }
        }
    }
}

fn unloaded(world: &World) -> Vec<Unloaded> {
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
