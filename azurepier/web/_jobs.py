"""Handlers of the requests of callers: job ids and jobs."""

import time

from azurepier import kernel
from azurepier.web import _answers
from azurepier.web import _auth
from azurepier.web import _parse
from azurepier.web import _requests

_events = kernel.events
# For a longer wait the caller repeats the request, because proxies close
# requests that stay idle for longer.
MAX_WAIT_MS = 600_000
_MS_PER_S = 1000
_NOT_READY_RETRY_S = 1.0


def current_config(shell):
    """Return the active configuration or raise RefusedError."""
    cfg = shell.node.adoption.current
    if cfg is None:
        raise _answers.refused_error(
            'not-ready',
            'no configuration has been received yet',
            retry_after_s=_NOT_READY_RETRY_S,
        )
    return cfg


def _path_job_id(request):
    text = request.route_values['id']
    if kernel.ids.parse(text) is None:
        raise _answers.refused_error(
            'unknown-job', f'malformed job id {text!r:.80}'
        )
    return text


async def _ask(shell, request, make_event, job_id=''):
    try:
        return await _requests.while_connected(request, shell.ask(make_event))
    except Exception as exc:
        if isinstance(
            exc, (_requests.CallerDisconnectedError, _answers.RefusedError)
        ):
            raise
        # The node had received the request, so tasks may have been started.
        raise _answers.refused_error(
            'internal',
            'unexpected error in the entry',
            job_id=job_id,
            verdict=kernel.Verdict.MAY_HAVE_RUN,
        ) from exc


def outcome_label(answer):
    """Return the value of the metric label ``outcome`` for an answer."""
    if isinstance(answer, kernel.Refused):
        return answer.type
    return type(answer).__name__.lower()


def make_submit(shell, metrics, clock=time.perf_counter):
    """Return the handler of ``PUT /v1/jobs/{id}`` and ``POST /v1/jobs``."""

    async def read_spec(request):
        cfg = current_config(shell)
        # Reject an invalid token before the body is read.
        caller = _auth.authenticate(request, cfg)
        spec = _parse.parse_job(await _requests.read_body(request))
        _auth.check_customer_access(spec.customer, caller, cfg)
        return spec

    async def submit(request):
        started_at = clock()
        class_, outcome = 'unknown', 'invalid-input'
        try:
            route_values = request.route_values
            job_id = _path_job_id(request) if route_values else None
            spec = await read_spec(request)
            class_ = 'urgent' if spec.urgent else 'ordinary'
            detach = _requests.wants_detach(request)
            answer = await _ask(
                shell,
                request,
                lambda req: _events.Submit(req, job_id, spec, detach),
                job_id or '',
            )
            outcome = outcome_label(answer)
            return _answers.to_response(answer)
        except _answers.RefusedError as exc:
            outcome = exc.refused.type
            raise
        except _requests.CallerDisconnectedError:
            outcome = 'caller-gone'
            raise
        finally:
            metrics.observe(class_, outcome, clock() - started_at)

    return submit


def _resolve_customer(request, cfg):
    """Return the name of the customer that a request is made for."""
    caller = _auth.authenticate(request, cfg)
    name = _requests.query_value(request, 'customer')
    if name:
        _auth.check_customer_access(name, caller, cfg)
        return name
    if caller is not None:
        return caller.name
    raise _answers.refused_error(
        'unauthorized',
        'the customer must be given by a token or by ?customer=',
    )


def make_fetch(shell):
    """Return the handler of ``GET /v1/jobs/{id}``."""

    async def fetch(request):
        job_id = _path_job_id(request)
        customer = _resolve_customer(request, current_config(shell))
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
        job_id = _path_job_id(request)
        customer = _resolve_customer(request, current_config(shell))
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
        cfg = current_config(shell)
        caller = _auth.authenticate(request, cfg)
        _auth.require_token(caller, cfg)
        body = await _requests.read_body(request)
        count = _parse.parse_ids_request(body)
        answer = await _ask(
            shell, request, lambda req: _events.NewIds(req, count)
        )
        return _answers.to_response(answer)

    return new_ids
