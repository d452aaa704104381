"""Submit one job with the blocking client.

    AZUREPIER_ENTRIES='http://127.0.0.1:8080' AZUREPIER_TOKEN=... \\
        python examples/submit_sync.py CUSTOMER TEXT...
"""

import os
import sys

from azurepier import client


def main(customer, texts):
    """Submit an echo task for each text and print the outputs."""
    entries = os.environ['AZUREPIER_ENTRIES'].split()
    token = os.environ.get('AZUREPIER_TOKEN')
    tasks = [client.Task('echo', {'text': text}) for text in texts]
    with client.Client(entries, customer, token) as job_client:
        try:
            result = job_client.submit(tasks, idempotent=True, deadline_s=10)
        except client.NotRunError as exc:
            sys.exit(f'no task ran, so the job can be submitted again: {exc}')
        except client.JobError as exc:
            sys.exit(
                f'tasks may have run; check before submitting again: {exc}'
            )
    for text, output in zip(texts, result.outputs):
        print(text, '->', output)


if __name__ == '__main__':
    main(sys.argv[1], sys.argv[2:])
