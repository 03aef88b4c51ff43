//! Assembly of answers from chunks, compared with a naive reference.

use {proptest::prelude::*, saddlepulley::policy::*, std::sync::Arc};

fn token(attempt: u32, i: usize) -> Arc<str> {
    Arc::from(format!("{attempt}:{i} "))
}

fn chunk(attempt: u32, offset: usize, len: usize, total: Option<usize>) -> AnswerChunk {
    AnswerChunk {
        attempt,
        offset,
        tokens: (offset..offset + len).map(|i| token(attempt, i)).collect(),
        total,
    }
}

/// The reference: keeps every token of the current attempt by offset and commits the
/// longest run without a gap.
#[derive(Default)]
struct Naive {
    attempt: u32,
    committed: Vec<Arc<str>>,
    known: std::collections::BTreeMap<usize, Arc<str>>,
}

impl Naive {
    fn next_attempt(&mut self) {
        self.attempt += 1;
        self.known.clear();
    }

    fn take(&mut self, p: &AnswerChunk) {
        if p.attempt != self.attempt {
            return;
        }
        for (i, t) in p.tokens.iter().enumerate() {
            self.known.entry(p.offset + i).or_insert_with(|| t.clone());
        }
        while let Some(t) = self.known.get(&self.committed.len()) {
            self.committed.push(t.clone());
        }
    }
}

#[derive(Clone, Debug)]
enum Step {
    NextAttempt,
    Chunk {
        old: bool,
        offset: usize,
        len: usize,
    },
}

fn steps() -> impl Strategy<Value = Vec<Step>> {
    let chunk = (any::<bool>(), 0..40usize, 0..12usize)
        .prop_map(|(old, offset, len)| Step::Chunk { old, offset, len });
    prop::collection::vec(
        prop_oneof![1 => Just(Step::NextAttempt), 20 => chunk],
        1..120,
    )
}

proptest! {
    #[test]
    fn splice_agrees_with_the_reference(steps in steps()) {
        let mut splice = Splice::default();
        let mut naive = Naive::default();
        let mut text = Vec::new();
        splice.next_attempt();
        naive.next_attempt();
        for step in steps {
            match step {
                Step::NextAttempt => {
                    splice.next_attempt();
                    naive.next_attempt();
                }
                Step::Chunk { old, offset, len } => {
                    let attempt = naive.attempt - u32::from(old);
                    let p = chunk(attempt, offset, len, None);
                    naive.take(&p);
                    text.extend(splice.take(p));
                }
            }
            prop_assert_eq!(&text, &naive.committed);
            prop_assert_eq!(splice.committed(), text.len());
        }
    }

    #[test]
    fn any_order_of_all_chunks_gives_the_complete_answer(
        cuts in prop::collection::btree_set(1..60usize, 0..10),
        order in any::<prop::sample::Index>(),
        seed in any::<u64>(),
    ) {
        use rand::{SeedableRng, seq::SliceRandom};
        let total = 60;
        let mut ends: Vec<usize> = cuts.into_iter().collect();
        ends.push(total);
        let mut start = 0;
        let mut chunks = Vec::new();
        for end in ends {
            chunks.push(chunk(1, start, end - start, (end == total).then_some(total)));
            start = end;
        }
        let duplicate = chunks[order.index(chunks.len())].clone();
        chunks.push(duplicate);
        chunks.shuffle(&mut rand_chacha::ChaCha8Rng::seed_from_u64(seed));
        let mut splice = Splice::default();
        splice.next_attempt();
        let mut text = Vec::new();
        for p in chunks {
            text.extend(splice.take(p));
        }
        let expected: Vec<_> = (0..total).map(|i| token(1, i)).collect();
        prop_assert_eq!(text, expected);
        prop_assert!(splice.is_complete());
    }
}

#[test]
fn no_token_is_committed_beyond_the_total() {
    let mut splice = Splice::default();
    splice.next_attempt();
    let got = splice.take(chunk(1, 0, 10, Some(8)));
    assert_eq!(got.len(), 8);
    assert!(splice.is_complete());
}

#[test]
fn buffered_out_of_order_tokens_are_bounded() {
    let mut splice = Splice::default();
    splice.next_attempt();
    for i in 1..10_000 {
        splice.take(chunk(1, i * 10, 10, None));
    }
    let got = splice.take(chunk(1, 0, 10, None));
    assert!(got.len() <= 10 + MAX_EARLY_TOKENS);
}
