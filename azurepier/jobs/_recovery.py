"""Best true answer for a job whose owner is gone.

The entry that recovers a job has no record of it. It knows only what the
endpoints report after they were told to start nothing more of the job.
"""

import zlib

import attrs

from azurepier import kernel

# Endpoints that don't report within this time prove nothing.
REPORT_WAIT_S = 1.0
# While tasks of the job still run, endpoints are asked again at this rate.
QUERY_INTERVAL_S = 0.5
# Longest wait for running tasks if the job's deadline is not known.
WAIT_MAX_S = 30.0


@attrs.define
class Recovery:
    """One job that is being recovered."""

    job_id: str
    customer: str
    spec: kernel.JobSpec | None
    started_at: float
    give_up_at: float
    waiters: list = attrs.field(factory=list)
    awaited: set = attrs.field(factory=set)
    round_ends_at: float = 0.0
    reports: dict = attrs.field(factory=dict)  # task -> TaskReport
    query: int = 0
    owner_reached: bool = False  # a request for the job was sent to its owner
    answer: object = None
    ended_at: float = 0.0


def merge_report(recovery, msg):
    """Merge the report of one endpoint."""
    for report in msg.tasks:
        old = recovery.reports.get(report.task)
        if old is None or old.running:
            recovery.reports[report.task] = report


def _lost(recovery, detail):
    # A client that used the id for the first time learns from the type that
    # the owner got nothing of the job.
    unreached = (
        recovery.spec and not recovery.owner_reached and not recovery.reports
    )
    return kernel.Refused(
        recovery.job_id,
        'owner-unreachable' if unreached else 'owner-lost',
        kernel.Verdict.MAY_HAVE_RUN,
        detail,
    )


def _failed(recovery, report):
    return kernel.Refused(
        recovery.job_id,
        'task-failed',
        kernel.Verdict.RAN,
        f'task {report.task}: {report.output.decode(errors="replace")}',
    )


def _complete(recovery):
    outputs = tuple(
        recovery.reports[task].output
        for task in range(len(recovery.spec.tasks))
    )
    return kernel.Complete(recovery.job_id, outputs)


def _found_all(recovery):
    if recovery.spec is None:
        return False
    return all(
        task in recovery.reports
        and not recovery.reports[task].running
        and recovery.reports[task].status == kernel.Status.DONE
        for task in range(len(recovery.spec.tasks))
    )


def _content_differs(recovery):
    """Tell whether the tasks that ran are not those of the submission."""
    if recovery.spec is None:
        return False
    tasks = recovery.spec.tasks
    return any(
        number >= len(tasks) or report.check != _check(tasks[number])
        for number, report in recovery.reports.items()
    )


def _check(task):
    return zlib.crc32(task.payload, zlib.crc32(task.kind.encode()))


def final_answer(recovery, now):
    """Return the final answer, or None while it may still improve."""
    if _content_differs(recovery):
        return kernel.Refused(
            recovery.job_id,
            'content-differs',
            kernel.Verdict.NOT_RUN,
            'another job was submitted under this id',
        )
    if _found_all(recovery):
        return _complete(recovery)
    for report in recovery.reports.values():
        if not report.running and report.status == kernel.Status.FAILED:
            return _failed(recovery, report)
    if recovery.awaited and now < recovery.round_ends_at:
        return None
    if recovery.spec is None:
        return _lost(recovery, 'the owner is gone and the job is not known')
    missing = [
        task
        for task in range(len(recovery.spec.tasks))
        if task not in recovery.reports
        or recovery.reports[task].status != kernel.Status.DONE
        and not recovery.reports[task].running
    ]
    if missing:
        return _lost(recovery, f'{len(missing)} tasks have no result')
    if now >= recovery.give_up_at:
        return _lost(recovery, 'tasks still run at the deadline')
    return None
