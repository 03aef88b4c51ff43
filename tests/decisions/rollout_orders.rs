//! The numbers of rollout orders when their source returns from an older copy of itself.

use saddlepulley::{
    names::SourceEra,
    rollouts::{OrderNumbers, RolloutOrder},
};

const FORMER: u64 = 4;
const PRESENT: u64 = 5;

fn order(target: &str, offset: u64) -> RolloutOrder {
    RolloutOrder {
        service: "s".into(),
        target: target.into(),
        deadline_s: 30.0,
        offset,
    }
}

fn number(numbers: &mut OrderNumbers, target: &str, offset: u64, era: u64) -> Option<u64> {
    numbers.number(&order(target, offset), SourceEra::from_code(era))
}

/// Returns numbers that know two orders of a former era.
fn two_orders() -> OrderNumbers {
    let mut numbers = OrderNumbers::default();
    assert_eq!(number(&mut numbers, "v2", 20, FORMER), Some(20));
    assert_eq!(number(&mut numbers, "v3", 40, FORMER), Some(40));
    assert_eq!(
        number(&mut numbers, "v3", 40, FORMER),
        Some(40),
        "read again"
    );
    numbers
}

#[test]
fn an_order_that_is_written_again_is_not_a_new_one() {
    let mut numbers = two_orders();
    assert_eq!(number(&mut numbers, "v3", 55, PRESENT), Some(40));
}

#[test]
fn an_earlier_order_in_the_copy_does_not_replace_a_later_one() {
    let mut numbers = two_orders();
    assert_eq!(number(&mut numbers, "v2", 20, PRESENT), None);
    assert_eq!(number(&mut numbers, "v3", 25, PRESENT), Some(40));
    assert_eq!(
        number(&mut numbers, "v2", 26, PRESENT),
        Some(41),
        "ordered again"
    );
}

#[test]
fn a_new_order_counts_although_its_offset_was_given_out_before() {
    let mut numbers = two_orders();
    assert_eq!(number(&mut numbers, "v4", 22, PRESENT), Some(41));
    assert_eq!(number(&mut numbers, "v5", 23, PRESENT), Some(42));
    assert_eq!(number(&mut numbers, "v6", 10, PRESENT + 1), Some(43));
}
