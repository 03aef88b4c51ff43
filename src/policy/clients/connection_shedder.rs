/// Delay of the daemon's own work from which on it counts as overloaded, in milliseconds, if no shorter one
/// occurs within a window. A daemon that gets its processor in slices has longer ones, with shorter ones in
/// between.
const TARGET_DELAY_MS: u64 = 50;
/// Number of delays in a window. After a pause of the whole daemon only the first one is long.
const WINDOW: usize = 4;
/// By how much the share of closed connections rises after a window of overload.
const STEP_UP: f64 = 0.2;
/// By how much it falls after another window.
const STEP_DOWN: f64 = 0.05;
/// Upper bound of the share. Some connections are always served, so that the load balancer finds the
/// daemon working.
const MAX_SHARE: f64 = 0.95;

/// Decides which new connections a daemon closes unread because it has more work than processor time.
///
/// This answers the load of a load balancer that hands most new connections to one daemon. Its requests would
/// wait for longer and longer, while a client whose connection is closed before its request was read
/// comes again at once, at another daemon.
#[derive(Debug, Default)]
pub struct ConnectionShedder {
    /// The delays of the present window, in milliseconds.
    delays_ms: Vec<u64>,
    share: f64,
}

impl ConnectionShedder {
    /// Records by how much a timer of the daemon was late.
    pub fn record_delay(&mut self, delay_ms: u64) {
        self.delays_ms.push(delay_ms);
        if self.delays_ms.len() < WINDOW {
            return;
        }
        let is_late = |delay_ms: u64| delay_ms > TARGET_DELAY_MS;
        let change = match self.delays_ms.drain(..).all(is_late) {
            true => STEP_UP,
            false => -STEP_DOWN,
        };
        self.share = (self.share + change).clamp(0.0, MAX_SHARE);
    }

    /// Returns the share of new connections that are closed.
    pub fn share(&self) -> f64 {
        self.share
    }

    /// Returns whether a new connection is to be closed, by a random number from 0 to 1.
    pub fn closes(&self, draw: f64) -> bool {
        draw < self.share
    }
}
