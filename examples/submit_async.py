"""Submit several jobs concurrently with the asynchronous client.

    AZUREPIER_ENTRIES='http://127.0.0.1:8080' AZUREPIER_TOKEN=... \\
        python examples/submit_async.py CUSTOMER
"""

import asyncio
import os
import sys

from azurepier import client

JOBS = 10
TASK_MS = 80


async def run_job(job_client, number):
    """Submit one job of four tasks and return a line with its outcome."""
    tasks = [
        client.Task('sleep', {'ms': TASK_MS}, duration_ms=TASK_MS)
        for _ in range(4)
    ]
    try:
        result = await job_client.submit(
            tasks, urgent=True, idempotent=True, deadline_s=10
        )
    except client.OverloadedError as exc:
        return f'job {number}: rejected, retry in {exc.retry_after_s} s'
    except client.JobError as exc:
        return f'job {number}: {exc}, verdict {exc.verdict.value}'
    return f'job {number}: {len(result.outputs)} results as {result.job_id}'


async def main(customer):
    """Submit all jobs and print their outcomes."""
    entries = os.environ['AZUREPIER_ENTRIES'].split()
    token = os.environ.get('AZUREPIER_TOKEN')
    async with client.AsyncClient(entries, customer, token) as job_client:
        lines = await asyncio.gather(
            *(run_job(job_client, number) for number in range(JOBS))
        )
    print('\n'.join(lines))


if __name__ == '__main__':
    asyncio.run(main(sys.argv[1]))
