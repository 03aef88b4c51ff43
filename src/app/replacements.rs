use {
    super::World,
    crate::{names::*, policy::*, provider::*},
    std::collections::BTreeSet,
};

/// Orders a box for each that is leaving.
#[derive(Debug, Default)]
pub struct Replacements {
    done: BTreeSet<String>,
}

impl Replacements {
    /// Orders what is missing; `may_act` is asked again before each order.
    pub async fn step(&mut self, world: &World, may_act: &impl Fn() -> Option<u64>) {
        for b in lost_upstreams(world) {
            let token = format!("replace-{}-{}", b.id, b.incarnation);
            if self.done.contains(&token) {
                continue;
            }
            if self.order(world, &b, &token, may_act).await {
                self.done.insert(token);
            }
        }
    }

    /// Orders a replacement: of the same class, or on-demand where that is refused.
    ///
    /// The token is the same whoever orders, so that an order whose answer was
    /// lost, and is given again by this or the next holder, is taken once.
    async fn order(
        &self,
        world: &World,
        lost: &BoxFact,
        token: &str,
        may_act: &impl Fn() -> Option<u64>,
    ) -> bool {
        for class in [lost.class, BoxClass::OnDemand] {
            let Some(fence) = may_act() else { return false };
            let order = BoxOrder {
                client_token: token.to_string(),
                fence,
                failure_domain: lost.failure_domain.clone(),
                class,
                service: lost.service.clone(),
            };
            match world.backends.cloud.order(&order).await {
                Ok(()) => {
                    log::info!(target: "duties", "ordered a box. for={} class={class:?} fence={fence}", lost.id);
                    return true;
                }
                Err(PlatformError::Refused) => {}
                Err(e) => {
                    log::debug!(target: "duties", "an order failed. error=\"{e}\"");
                    return self.is_taken(world, token).await;
                }
            }
        }
        false
    }

    /// An order whose answer was lost is settled by the list of orders.
    async fn is_taken(&self, world: &World, token: &str) -> bool {
        let orders = world.backends.cloud.orders().await;
        orders.is_ok_and(|o| o.iter().any(|o| o.client_token == token))
    }
}

fn lost_upstreams(world: &World) -> Vec<BoxFact> {
    let recent = now_ms().saturating_sub(600_000);
    let boxes = world.boxes.read();
    boxes
        .iter()
        .filter(|b| b.kind != BoxKind::Entry && b.state != BoxState::Live)
        .filter(|b| b.failure_domain == *world.my_domain() && b.leaves_at_ms > recent)
        .cloned()
        .collect()
}
