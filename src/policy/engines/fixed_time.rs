use {super::weighted_median, crate::policy::EngineTimes, std::collections::VecDeque};

/// How many answers are kept.
const MAX_ANSWERS: usize = 24;
/// The fewest answers from which the fixed time is estimated.
const MIN_ANSWERS: usize = 4;
/// The largest share of an answer's time that reading the prompt may take for the answer to count. In
/// others, an error in the reading time would outweigh the fixed time.
const MAX_READING_SHARE: f64 = 0.5;
/// The share of the average time to the first event that is assumed to be fixed until enough answers
/// are recorded.
const ASSUMED_SHARE: f64 = 0.5;

/// The part of the time to the first event that all answers of a service have in common, whatever
/// their prompts: connection, network and the first step of the engine. It has to be left out when
/// the speed of an upstream is measured.
#[derive(Clone, Debug, Default)]
pub(super) struct FixedTime {
    /// The times of the latest answers without the time for reading their prompts.
    rests_ms: VecDeque<f64>,
}

impl FixedTime {
    /// Records an answer whose request did not wait behind others.
    pub(super) fn record(&mut self, tokens: f64, after_ms: f64, times: &EngineTimes) {
        let reading_ms = tokens * times.ms_per_token;
        if reading_ms > after_ms * MAX_READING_SHARE {
            return;
        }
        self.rests_ms.push_back(after_ms - reading_ms);
        if self.rests_ms.len() > MAX_ANSWERS {
            self.rests_ms.pop_front();
        }
    }

    /// Returns the fixed time in milliseconds, or `None` while it is unknown.
    pub(super) fn known_ms(&self) -> Option<f64> {
        let rests = self.rests_ms.iter().map(|rest| (*rest, 1.0));
        let rests: Vec<_> = rests.collect();
        (rests.len() >= MIN_ANSWERS).then(|| weighted_median(rests))?
    }

    /// Returns the fixed time, or an assumption while it is unknown, in milliseconds.
    pub(super) fn assumed_ms(&self, times: &EngineTimes) -> f64 {
        let known = self.known_ms();
        known.unwrap_or(times.first_event_ms * ASSUMED_SHARE)
    }
}
