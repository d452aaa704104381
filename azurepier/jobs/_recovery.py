"""Recovery of a job's answer after the loss of its owner.

The entry that recovers a job has no record of it. It derives the answer from
the reports of the endpoints, which have fenced the job before they report:
they start no more tasks of it.
"""

import zlib

import attrs

from azurepier import kernel

# Time to wait for the reports of a query. The state of the tasks on endpoints
# that do not report in time stays unknown.
REPORT_WAIT_S = 1.0
# Interval of queries while tasks of the job are still running.
QUERY_INTERVAL_S = 0.5
# Upper limit of the wait for running tasks, which also applies if the job's
# deadline is unknown.
WAIT_MAX_S = 30.0


@attrs.define
class Recovery:
    """State of the recovery of one job.

    `awaited` holds the connections whose reports on the current query are
    outstanding, and `reports` the latest `TaskReport` by task number.
    """

    job_id: str
    customer: str
    spec: kernel.JobSpec | None
    started_at: float
    give_up_at: float
    waiters: list = attrs.field(factory=list)
    awaited: set = attrs.field(factory=set)
    round_ends_at: float = 0.0
    reports: dict = attrs.field(factory=dict)
    query: int = 0
    owner_reached: bool = False  # a request may have reached the owner
    answer: object = None
    ended_at: float = 0.0


def merge_report(recovery, msg):
    """Merge the report of one endpoint.

    A report on an ended task is final; one on a running task is replaced by
    any later report.
    """
    for report in msg.tasks:
        previous = recovery.reports.get(report.task)
        if previous is None or previous.running:
            recovery.reports[report.task] = report


def _owner_lost(recovery, detail):
    # The error type tells a client that used the id for the first time that
    # the owner never received the job.
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


def _is_complete(recovery):
    if recovery.spec is None:
        return False
    return all(
        task in recovery.reports
        and not recovery.reports[task].running
        and recovery.reports[task].status == kernel.Status.DONE
        for task in range(len(recovery.spec.tasks))
    )


def _content_differs(recovery):
    """Return whether the reported tasks belong to another submission."""
    if recovery.spec is None:
        return False
    tasks = recovery.spec.tasks
    return any(
        number >= len(tasks) or report.check != _checksum(tasks[number])
        for number, report in recovery.reports.items()
    )


def _checksum(task):
    return zlib.crc32(task.payload, zlib.crc32(task.kind.encode()))


def final_answer(recovery, now):
    """Return the final answer, or None while reports are outstanding.

    The answer is also delayed while tasks are running, until the recovery's
    deadline `give_up_at`.
    """
    if _content_differs(recovery):
        return kernel.Refused(
            recovery.job_id,
            'content-differs',
            kernel.Verdict.NOT_RUN,
            'another job was submitted under this id',
        )
    if _is_complete(recovery):
        return _complete(recovery)
    for report in recovery.reports.values():
        if not report.running and report.status == kernel.Status.FAILED:
            return _failed(recovery, report)
    if recovery.awaited and now < recovery.round_ends_at:
        return None
    if recovery.spec is None:
        return _owner_lost(recovery, 'the owner is lost; the job is unknown')
    missing = [
        task
        for task in range(len(recovery.spec.tasks))
        if task not in recovery.reports
        or recovery.reports[task].status != kernel.Status.DONE
        and not recovery.reports[task].running
    ]
    if missing:
        return _owner_lost(recovery, f'{len(missing)} tasks have no result')
    if now >= recovery.give_up_at:
        return _owner_lost(recovery, 'tasks still running at the deadline')
    return None
