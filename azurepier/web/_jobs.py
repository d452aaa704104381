"""Handlers of job ids and jobs."""

import time

from azurepier import kernel
from azurepier.web import _answers
from azurepier.web import _auth
from azurepier.web import _parse
from azurepier.web import _requests

_events = kernel.events
# A longer wait is split by the caller; proxies close idle requests sooner.
MAX_WAIT_MS = 600_000
_MS_PER_S = 1000
_NOT_READY_RETRY_S = 1.0


def configuration(shell):
    """Return the configuration in force; raise a Refusal if there is none."""
    cfg = shell.node.adoption.current
    if cfg is None:
        raise _answers.refuse(
            'not-ready',
            'no configuration is known yet',
            retry_after_s=_NOT_READY_RETRY_S,
        )
    return cfg


def _job_id(request):
    text = request.route_values['id']
    if kernel.ids.parse(text) is None:
        raise _answers.refuse('unknown-job', 'not a job id')
    return text


async def _ask(shell, request, factory, job_id=''):
    try:
        return await _requests.while_connected(request, shell.ask(factory))
    except Exception as exc:
        if isinstance(exc, (_requests.CallerGone, _answers.Refusal)):
            raise
        # The node has the request, so nothing proves that no work ran.
        raise _answers.refuse(
            'internal',
            'the request failed inside the entry',
            job_id=job_id,
            verdict=kernel.Verdict.MAY_HAVE_RUN,
        ) from exc


def outcome_of(answer):
    """Return an answer's label in the metrics."""
    if isinstance(answer, kernel.Refused):
        return answer.type
    return type(answer).__name__.lower()


def make_submit(shell, metrics, clock=time.perf_counter):
    """Return the handler of ``PUT /v1/jobs/{id}`` and ``POST /v1/jobs``."""

    async def read_spec(request):
        cfg = configuration(shell)
        # A wrong token is refused before the body is read.
        caller = _auth.token_customer(request, cfg)
        spec = _parse.parse_job(await _requests.read_body(request))
        _auth.check_customer(spec.customer, caller, cfg)
        return spec

    async def submit(request):
        begin = clock()
        class_, outcome = 'unknown', 'invalid-input'
        try:
            named = request.route_values
            job_id = _job_id(request) if named else None
            spec = await read_spec(request)
            class_ = 'urgent' if spec.urgent else 'ordinary'
            detach = _requests.wants_detach(request)
            answer = await _ask(
                shell,
                request,
                lambda req: _events.Submit(req, job_id, spec, detach),
                job_id or '',
            )
            outcome = outcome_of(answer)
            return _answers.to_response(answer)
        except _answers.Refusal as exc:
            outcome = exc.refused.type
            raise
        except _requests.CallerGone:
            outcome = 'caller-gone'
            raise
        finally:
            metrics.observe(class_, outcome, clock() - begin)

    return submit


def _customer_of(request, cfg):
    """Return the name of the customer that asks for an existing job."""
    caller = _auth.token_customer(request, cfg)
    name = _requests.query_value(request, 'customer')
    if name:
        _auth.check_customer(name, caller, cfg)
        return name
    if caller is not None:
        return caller.name
    raise _answers.refuse(
        'unauthorized', 'name the customer with a token or ?customer='
    )


def make_fetch(shell):
    """Return the handler of ``GET /v1/jobs/{id}``."""

    async def fetch(request):
        job_id = _job_id(request)
        customer = _customer_of(request, configuration(shell))
        wait_ms = _requests.query_integer(request, 'wait_ms', 0, MAX_WAIT_MS)
        answer = await _ask(
            shell,
            request,
            lambda req: _events.Fetch(
                req, job_id, customer, wait_ms / _MS_PER_S
            ),
            job_id,
        )
        return _answers.to_response(answer)

    return fetch


def make_cancel(shell):
    """Return the handler of ``DELETE /v1/jobs/{id}``."""

    async def cancel(request):
        job_id = _job_id(request)
        customer = _customer_of(request, configuration(shell))
        answer = await _ask(
            shell,
            request,
            lambda req: _events.CancelJob(req, job_id, customer),
            job_id,
        )
        return _answers.to_response(answer)

    return cancel


def make_new_ids(shell):
    """Return the handler of ``POST /v1/job-ids``."""

    async def new_ids(request):
        cfg = configuration(shell)
        caller = _auth.token_customer(request, cfg)
        _auth.check_any_customer(caller, cfg)
        body = await _requests.read_body(request)
        count = _parse.parse_ids_request(body)
        answer = await _ask(
            shell, request, lambda req: _events.NewIds(req, count)
        )
        return _answers.to_response(answer)

    return new_ids
