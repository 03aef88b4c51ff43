use {
    super::World,
    crate::{names::*, policy::*, provider::*},
    std::collections::BTreeSet,
};

/// Orders a replacement for each upstream box that is leaving or gone.
#[derive(Debug, Default)]
pub struct Replacements {
    /// Client tokens of the orders that were placed.
    done: BTreeSet<String>,
}

impl Replacements {
    /// Orders the missing replacements.
    ///
    /// `may_act` returns the fencing token while this daemon holds the duty's
    /// lease; it is called again before each order.
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

    /// Orders a replacement of the same class, or an on-demand box if that class is refused.
    ///
    /// Returns true if the order was accepted. The client token depends only on
    /// the lost box, so that the cloud API accepts the order once even if its
    /// answer is lost and this or the next holder of the lease repeats it.
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
                    log::debug!(target: "duties", "box order failed. error=\"{e}\"");
                    return self.is_accepted(world, token).await;
                }
            }
        }
        false
    }

    /// Looks an order whose answer was lost up in the list of accepted orders.
    async fn is_accepted(&self, world: &World, token: &str) -> bool {
        let orders = world.backends.cloud.orders().await;
        orders.is_ok_and(|o| o.iter().any(|o| o.client_token == token))
    }
}

/// Returns the upstreams of this failure domain that are leaving or gone, and left in the last 10
/// minutes or leave later.
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
