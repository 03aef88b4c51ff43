use {
    super::RolloutOrder,
    crate::names::{SourceEra, SourcePosition},
    std::collections::{BTreeMap, VecDeque},
};

/// Number of former orders of a service that are remembered.
const MAX_FORMER: usize = 16;

/// What an order demands.
#[derive(Clone, Debug, PartialEq)]
struct Demand {
    target: String,
    deadline_s: f64,
}

#[derive(Clone, Debug)]
struct ServiceOrders {
    newest: Demand,
    /// The number of the newest order.
    number: u64,
    /// Where the newest order was read last.
    position: SourcePosition,
    /// What is added to offsets of the present era to get numbers.
    shift: u64,
    /// Demands of earlier orders, oldest first.
    former: VecDeque<Demand>,
}

/// Numbers the operator's rollout orders, so that a later order has a higher number even after
/// the source has returned from an older copy. The copy may show earlier orders, and orders that
/// it lacks are written again at other offsets. Neither is a new order.
#[derive(Clone, Debug, Default)]
pub struct OrderNumbers {
    services: BTreeMap<String, ServiceOrders>,
}

impl OrderNumbers {
    /// Returns the number of an order that was read in an era of the source, or `None` if a later
    /// order of its service is known.
    pub fn number(&mut self, order: &RolloutOrder, era: SourceEra) -> Option<u64> {
        let demand = Demand {
            target: order.target.clone(),
            deadline_s: order.deadline_s,
        };
        let position = SourcePosition {
            era,
            offset: order.offset,
        };
        let Some(known) = self.services.get_mut(&order.service) else {
            let orders = ServiceOrders {
                newest: demand,
                number: order.offset,
                position,
                shift: 0,
                former: VecDeque::new(),
            };
            self.services.insert(order.service.clone(), orders);
            return Some(order.offset);
        };
        known.number_of(demand, position)
    }
}

impl ServiceOrders {
    fn number_of(&mut self, demand: Demand, position: SourcePosition) -> Option<u64> {
        if position <= self.position {
            return (position == self.position).then_some(self.number);
        }
        if position.era.follows_restore(self.position.era) {
            if demand == self.newest {
                self.position = position;
                self.shift = self.number.saturating_sub(position.offset);
                return Some(self.number);
            }
            if self.former.contains(&demand) {
                return None;
            }
            self.shift = (self.number + 1).saturating_sub(position.offset);
        }
        self.position = position;
        self.number = position.offset + self.shift;
        let former = std::mem::replace(&mut self.newest, demand);
        self.former.push_back(former);
        if self.former.len() > MAX_FORMER {
            self.former.pop_front();
        }
        Some(self.number)
    }
}
