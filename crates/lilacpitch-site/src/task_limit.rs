//! Limits the number of tasks that serve parties which have not shown who they are.

use std::collections::VecDeque;
use tokio::task::AbortHandle;

/// Running tasks, oldest first. At the limit the oldest one is aborted for a new one: it has had the most time, and a
/// party that sends nothing must not keep others from being served.
pub(crate) struct TaskLimit {
    tasks: VecDeque<AbortHandle>,
    limit: usize,
}

impl TaskLimit {
    /// Creates a limit of this many tasks.
    pub(crate) fn new(limit: usize) -> Self {
        TaskLimit { tasks: VecDeque::with_capacity(limit), limit }
    }

    /// Adds a task that was just started.
    pub(crate) fn add(&mut self, task: AbortHandle) {
        if self.tasks.len() >= self.limit {
            self.tasks.retain(|task| !task.is_finished());
        }
        if self.tasks.len() >= self.limit {
            self.tasks.pop_front().iter().for_each(AbortHandle::abort);
        }
        self.tasks.push_back(task);
    }
}
