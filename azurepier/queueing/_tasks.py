"""Changes to the waiting tasks of a job."""


def set_tasks(waiting, work_by_task):
    """Set the waiting tasks of a job, the longest first.

    Parameters
    ----------
    waiting : WaitingJob
    work_by_task : list of float
        Expected work by task number (s at speed 1).

    Notes
    -----
    A job ends when its last task ends. Starting the longest tasks first makes
    it end earlier.
    """
    waiting.work = work_by_task
    waiting.tasks = sorted(
        range(len(work_by_task)), key=work_by_task.__getitem__
    )
    waiting.work_s = sum(work_by_task)


def pop_task(waiting, index=-1):
    """Remove the task at `index` of the waiting tasks; return its number."""
    task = waiting.tasks.pop(index)
    waiting.work_s -= waiting.work[task]
    return task


def return_task(discipline, waiting, task, now):
    """Put back a task that was popped but provably did not run."""
    discipline.remove(waiting)
    waiting.tasks.append(task)
    waiting.work_s += waiting.work[task]
    discipline.push(waiting, now)
