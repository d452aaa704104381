"""Taking tasks out of a waiting job and putting them back."""


def fill(waiting, works):
    """Queue all tasks of a job, the longest first.

    Notes
    -----
    The job ends with its last task, so tasks that take long start early.
    """
    waiting.work = works
    waiting.tasks = sorted(range(len(works)), key=works.__getitem__)
    waiting.work_s = sum(works)


def next_task(waiting):
    """Return the number of the task that starts next."""
    return waiting.tasks[-1]


def pop_task(waiting):
    """Take out the next task and return its number."""
    task = waiting.tasks.pop()
    waiting.work_s -= waiting.work[task]
    return task


def return_task(discipline, waiting, task, now):
    """Queue a task again that provably did not run."""
    discipline.remove(waiting)
    waiting.tasks.append(task)
    waiting.work_s += waiting.work[task]
    discipline.push(waiting, now)
