"""Authentication and authorisation of requests by bearer token."""

from azurepier.web import _answers

_SCHEME = 'bearer'
_MAX_TOKEN_CHARS = 4096


def _bearer_token(request):
    header = request.get_first_header(b'authorization')
    if header is None:
        return None
    scheme, _, token = header.decode('latin-1').partition(' ')
    token = token.strip()
    if scheme.lower() != _SCHEME or not 0 < len(token) <= _MAX_TOKEN_CHARS:
        raise _answers.refused_error(
            'unauthorized',
            f'expected a bearer token of 1 to {_MAX_TOKEN_CHARS} characters',
        )
    return token


def authenticate(request, cfg):
    """Return the customer whose bearer token the request carries.

    Returns
    -------
    Customer or None
        None if the request carries no token.

    Raises
    ------
    RefusedError
        If the token is malformed or unknown.
    """
    token = _bearer_token(request)
    if token is None:
        return None
    customer = cfg.customer_of_token(token)
    if customer is None:
        raise _answers.refused_error('unauthorized', 'unknown token')
    return customer


def check_customer_access(name, caller, cfg):
    """Raise RefusedError unless `caller` may act for the customer `name`.

    Parameters
    ----------
    name : str
        Customer named in the request.
    caller : Customer or None
        Customer that the request's token belongs to.
    cfg : Configuration
    """
    customer = cfg.customers.get(name)
    if customer is None:
        raise _answers.refused_error(
            'unknown-customer', f'unknown customer {name!r}'
        )
    if caller is None and customer.token_sha256:
        raise _answers.refused_error(
            'unauthorized', f'customer {name!r} requires a token'
        )
    if caller is not None and caller.name != name:
        raise _answers.refused_error(
            'forbidden', f'the token does not belong to {name!r}'
        )


def require_token(caller, cfg):
    """Raise RefusedError if tokens are in use and the request has none."""
    if caller is None and tokens_in_use(cfg):
        raise _answers.refused_error(
            'unauthorized', 'a bearer token is required'
        )


def tokens_in_use(cfg):
    """Tell whether any customer has a token."""
    return any(item.token_sha256 for item in cfg.customers.values())
