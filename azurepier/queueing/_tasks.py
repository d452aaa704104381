"""Taking tasks out of a waiting job and putting them back."""


def set_tasks(waiting, works):
    """Queue all tasks of a job, the longest first.

    Notes
    -----
    The job ends with its last task, so tasks that take long start early.
    """
    waiting.work = works
    waiting.tasks = sorted(range(len(works)), key=works.__getitem__)
    waiting.work_s = sum(works)


def pop_task(waiting, index=-1):
    """Take out the task at `index` and return its number."""
    task = waiting.tasks.pop(index)
    waiting.work_s -= waiting.work[task]
    return task


def return_task(discipline, waiting, task, now):
    """Queue a task again that provably did not run."""
    discipline.remove(waiting)
    waiting.tasks.append(task)
    waiting.work_s += waiting.work[task]
    discipline.push(waiting, now)
