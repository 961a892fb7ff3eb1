//! Which row changes of a front go at once and which wait for others: where a number is reached presses, calls that
//! begin and end do not, for no locate of a number rests on them.

use crate::Nanos;

/// So long a change that does not press waits for others,
const GATHER_NS: Nanos = 20_000_000;
/// and with no more of them than this.
const MOST: usize = 256;

/// Changes that are to go together, in their order.
#[derive(Debug)]
pub struct WriteBatcher<T> {
    held: Vec<T>,
    due_ns: Option<Nanos>,
}

impl<T> Default for WriteBatcher<T> {
    fn default() -> Self {
        WriteBatcher { held: Vec::new(), due_ns: None }
    }
}

impl<T> WriteBatcher<T> {
    /// One more; all of them where there are many.
    pub fn push(&mut self, now: Nanos, change: T, presses: bool) -> Option<Vec<T>> {
        let due_ns = if presses { now } else { now + GATHER_NS };
        self.due_ns = Some(self.due_ns.map_or(due_ns, |held| held.min(due_ns)));
        self.held.push(change);
        (self.held.len() >= MOST).then(|| self.take())
    }

    /// When they are due.
    pub fn due_ns(&self) -> Option<Nanos> {
        self.due_ns
    }

    /// All of them, if they are due.
    pub fn take_due(&mut self, now: Nanos) -> Option<Vec<T>> {
        self.due_ns.is_some_and(|at| at <= now).then(|| self.take())
    }

    fn take(&mut self) -> Vec<T> {
        self.due_ns = None;
        std::mem::take(&mut self.held)
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn calls_wait_for_others_and_numbers_take_them_along() {
        let mut gather = WriteBatcher::default();
        assert_eq!(gather.push(10, 'a', false), None);
        assert_eq!((gather.take_due(10), gather.due_ns()), (None, Some(10 + GATHER_NS)));
        assert_eq!(gather.push(11, 'b', true), None);
        assert_eq!(gather.take_due(11), Some(vec!['a', 'b']));
        assert_eq!((gather.take_due(u64::MAX), gather.due_ns()), (None, None));
        let full = (0..MOST).filter_map(|_| gather.push(20, 'c', false)).next();
        assert_eq!(full.map(|all| all.len()), Some(MOST));
    }
}
