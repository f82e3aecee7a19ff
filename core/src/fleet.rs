//! The paper's bursts policy ("Elastic Site", §II.C), per kind of machine. Pure:
//! what waits and what there is go in, what to rent comes out.

use crate::constants::WASTE_FACTOR;

/// Waiting work of one kind of machine.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct Queue {
    /// Sum of the waiting tasks' run-time estimates, in s.
    pub walltime_s: f64,
    /// Machines that the waiting tasks fill, judged by their booked resources.
    pub fill: f64,
    /// Machines that the largest waiting gang needs at once.
    pub gang: u32,
}

/// Waiting tasks of one job.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Waiting {
    pub tasks: u32,
    /// The owner's estimate; 0 for none.
    pub estimate_s: f64,
    /// How many of them one machine takes.
    pub per_machine: f64,
    pub gang: bool,
}

impl Queue {
    /// Adds a job's waiting tasks.
    pub fn add(&mut self, waiting: Waiting, waste_s: f64) {
        // A task without an estimate counts as twice the waste time.
        let estimate_s = if waiting.estimate_s > 0.0 {
            waiting.estimate_s
        } else {
            WASTE_FACTOR * waste_s
        };
        let fill = f64::from(waiting.tasks) / waiting.per_machine.max(1.0);
        self.walltime_s += f64::from(waiting.tasks) * estimate_s;
        self.fill += fill;
        if waiting.gang {
            self.gang = self.gang.max(fill.ceil() as u32);
        }
    }
}

/// Machines that should be idle or booting for this queue.
pub fn target(queue: &Queue, waste_s: f64) -> u32 {
    if queue.fill <= 0.0 {
        return 0;
    }
    // Integer division as in the paper; one machine if that gives none.
    let balanced = (queue.walltime_s / (WASTE_FACTOR * waste_s)).floor().max(1.0);
    let filled = queue.fill.ceil();
    (balanced.min(filled) as u32).max(queue.gang)
}

/// How many to rent, given those idle or booting and the room below the maximum.
pub fn shortfall(target: u32, idle_or_booting: u32, room: u32) -> u32 {
    target.saturating_sub(idle_or_booting).min(room)
}

#[cfg(test)]
mod tests {
    use super::*;

    fn waiting(tasks: u32, estimate_s: f64, per_machine: f64) -> Waiting {
        Waiting {
            tasks,
            estimate_s,
            per_machine,
            gang: false,
        }
    }

    fn queue(waiting: Waiting) -> Queue {
        let mut queue = Queue::default();
        queue.add(waiting, 50.0);
        queue
    }

    #[test]
    fn queued_walltime_over_twice_the_waste() {
        // 40 one-minute tasks, one a machine: 2400 s / (2 x 50 s) = 24.
        assert_eq!(target(&queue(waiting(40, 60.0, 1.0)), 50.0), 24);
    }

    #[test]
    fn at_least_one_while_work_waits_and_none_otherwise() {
        assert_eq!(target(&queue(waiting(1, 10.0, 8.0)), 50.0), 1);
        assert_eq!(target(&Queue::default(), 50.0), 0);
    }

    #[test]
    fn no_more_than_the_tasks_fill() {
        assert_eq!(target(&queue(waiting(16, 1000.0, 8.0)), 50.0), 2);
    }

    #[test]
    fn covers_the_largest_gang() {
        let short = queue(Waiting {
            gang: true,
            ..waiting(16, 5.0, 4.0)
        });
        assert_eq!(target(&short, 50.0), 4);
    }

    #[test]
    fn tasks_without_an_estimate_count_twice_the_waste() {
        assert_eq!(target(&queue(waiting(3, 0.0, 1.0)), 50.0), 3);
    }

    #[test]
    fn rents_only_the_gap() {
        assert_eq!(shortfall(5, 2, 10), 3);
        assert_eq!(shortfall(5, 7, 10), 0);
        assert_eq!(shortfall(5, 0, 2), 2);
    }
}
