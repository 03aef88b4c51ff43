/// How long the share stays the same, in milliseconds. Loads are known about as late, and only then show
/// the effect of the last step.
const STEP_MS: u64 = 100;
/// The time without a request after which the share starts at 0 again, in milliseconds: the last step
/// is out of date.
const IDLE_MS: u64 = 1_000;
/// The number of steps from a share of 0 to a share of 1.
const STEPS: u8 = 8;
/// The part of the bound up to which a request counts as in time with a margin.
const MARGIN_SHARE: f64 = 0.6;

/// How near the requests of a step came to the bound. The largest of a step counts.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
enum Pressure {
    #[default]
    Margin,
    Near,
    Over,
}

/// Of the requests that their own failure domain can't serve in time, the share that is sent to other
/// domains. It moves by steps, and stays the same while the domain is near the bound, so that it doesn't
/// oscillate because loads are known late.
#[derive(Clone, Copy, Debug, Default)]
pub struct SendingShare {
    steps: u8,
    step_began_ms: u64,
    pressure: Pressure,
}

impl SendingShare {
    /// Records the time to the first event that a request would have in its own domain, and moves
    /// the share if a step is over.
    pub fn observe(&mut self, own_ms: f64, bound_ms: f64, now_ms: u64) {
        let passed_ms = now_ms.saturating_sub(self.step_began_ms);
        if passed_ms >= IDLE_MS {
            *self = Self::default();
        }
        if passed_ms >= STEP_MS {
            self.end_step();
            self.step_began_ms = now_ms;
        }
        let pressure = match own_ms {
            over if over > bound_ms => Pressure::Over,
            near if near > bound_ms * MARGIN_SHARE => Pressure::Near,
            _ => Pressure::Margin,
        };
        self.pressure = self.pressure.max(pressure);
    }

    fn end_step(&mut self) {
        self.steps = match self.pressure {
            Pressure::Over => (self.steps + 1).min(STEPS),
            Pressure::Near => self.steps,
            Pressure::Margin => self.steps.saturating_sub(1),
        };
        self.pressure = Pressure::default();
    }

    /// Returns the share, from 0 to 1.
    pub fn share(&self) -> f64 {
        f64::from(self.steps) / f64::from(STEPS)
    }

    /// Returns when the current step began.
    pub fn changed_ms(&self) -> u64 {
        self.step_began_ms
    }
}
