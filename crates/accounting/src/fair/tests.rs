use super::*;
use proptest::prelude::*;

fn team(at: usize) -> Team {
    Team::named(&format!("t{at}"))
}

proptest! {
    /// A team with waiting items is served in proportion to its weight, up to one turn and one item
    /// of each team.
    #[test]
    fn no_team_gets_less_than_its_share(
        weights in proptest::collection::vec(1u64..=4, 2..6),
        costs in proptest::collection::vec(1u64..=5, 600),
        first_counted in 0usize..100,
    ) {
        let mut queue = FairQueue::new(100_000);
        for (at, weight) in weights.iter().enumerate() {
            for (item, cost) in costs.iter().enumerate() {
                queue.push(&team(at), *weight, *cost, (at, item)).unwrap();
            }
        }
        let mut served = vec![0u64; weights.len()];
        for turn in 0..300 {
            let (_, (at, item)) = queue.pop().unwrap();
            if turn >= first_counted {
                served[at] += costs[item];
            }
        }
        let total_weight: u64 = weights.iter().sum();
        let total: u64 = served.iter().sum();
        for (at, weight) in weights.iter().enumerate() {
            let share = total * weight / total_weight;
            let slack = 2 * weight * QUANTUM + 5 + weights.len() as u64 * 6;
            prop_assert!(served[at] + slack >= share, "{served:?} {weights:?}");
        }
    }

    /// A request of a team is served after at most one turn of each team that floods the queue.
    #[test]
    fn the_wait_behind_floods_is_bounded(
        floods in proptest::collection::vec(1u64..=MAX_LANE_WEIGHT, 1..8),
        served_before in 0usize..200,
        cost in 1u64..=8,
    ) {
        let mut queue = FairQueue::new(100_000);
        for (at, weight) in floods.iter().enumerate() {
            for _ in 0..400 {
                queue.push(&team(at), *weight, cost, false).unwrap();
            }
        }
        for _ in 0..served_before {
            queue.pop();
        }
        queue.push(&Team::named("quiet"), 1, 1, true).unwrap();
        let bound: u64 = floods.iter().map(|weight| weight.div_ceil(cost) + 1).sum();
        let waits = (0..=bound).take_while(|_| queue.pop().is_some_and(|(_, is_quiet)| !is_quiet)).count();
        prop_assert!(waits as u64 <= bound, "{waits} {bound}");
    }

    /// For any sequence of operations, the items of a team keep their order, none is lost or
    /// duplicated, an item is served whenever one waits, and the capacity is never exceeded.
    #[test]
    fn items_are_conserved_and_memory_is_bounded(
        operations in proptest::collection::vec((0usize..5, 1u64..9, any::<bool>()), 0..400),
        capacity in 1usize..40,
    ) {
        let mut queue = FairQueue::new(capacity);
        let mut waiting: BTreeMap<Team, VecDeque<usize>> = BTreeMap::new();
        for (number, (at, cost, push)) in operations.into_iter().enumerate() {
            let sender = team(at);
            if push {
                match queue.push(&sender, 1 + at as u64, cost, number) {
                    Ok(()) => waiting.entry(sender).or_default().push_back(number),
                    Err(QueueFull::Rejected(rejected)) => prop_assert_eq!(rejected, number),
                    Err(QueueFull::Evicted(other, newest)) => {
                        let evicted = waiting.entry(other).or_default().pop_back();
                        prop_assert_eq!(evicted, Some(newest));
                        waiting.entry(sender).or_default().push_back(number);
                    }
                }
            } else {
                let total: usize = waiting.values().map(VecDeque::len).sum();
                match queue.pop() {
                    None => prop_assert_eq!(total, 0),
                    Some((sender, item)) => {
                        let next = waiting.entry(sender).or_default().pop_front();
                        prop_assert_eq!(next, Some(item));
                    }
                }
            }
            let total: usize = waiting.values().map(VecDeque::len).sum();
            prop_assert_eq!(total, queue.len());
            prop_assert!(queue.len() <= capacity);
            prop_assert!(queue.lanes.len() <= 5 && queue.new_teams.len() + queue.served_teams.len() <= 5);
        }
    }
}

#[test]
fn items_of_a_team_that_fills_the_queue_are_evicted() {
    let mut queue = FairQueue::new(10);
    for item in 0..10 {
        queue.push(&team(0), 1, 1, item).unwrap();
    }
    assert_eq!(queue.push(&team(0), 1, 1, 10), Err(QueueFull::Rejected(10)));
    queue.pop();
    queue.push(&team(0), 1, 1, 10).unwrap();
    assert!(!queue.next_is_new_team());
    assert_eq!(
        queue.push(&team(1), 1, 1, 77),
        Err(QueueFull::Evicted(team(0), 10))
    );
    assert!(queue.next_is_new_team());
    assert_eq!(
        (queue.waiting_items(&team(0)), queue.waiting_items(&team(1))),
        (9, 1)
    );
    assert_eq!(queue.take_expired(|item| *item < 3).len(), 2);
    assert_eq!(queue.len(), 8);
}

// If empty lanes were not kept for a round, a team that sends one request at a time would count as
// new each time, and no other team would ever be served.
#[test]
fn single_requests_do_not_starve_other_teams() {
    let mut queue = FairQueue::new(100);
    for item in 0..5 {
        queue.push(&team(0), 1, 1, item).unwrap();
    }
    let mut served = 0;
    for _ in 0..10 {
        let _ = queue.push(&team(1), 1, 1, 100);
        served += usize::from(queue.pop().is_some_and(|(sender, _)| sender == team(0)));
    }
    assert!(served >= 4, "{served}");
}
