"""Which customer a request speaks for."""

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
        raise _answers.refuse('unauthorized', 'expected a bearer token')
    return token


def token_customer(request, cfg):
    """Return the customer whose token the request carries.

    Returns
    -------
    Customer or None
        None if the request carries no token.

    Raises
    ------
    Refusal
        If the token is nobody's.
    """
    token = _bearer_token(request)
    if token is None:
        return None
    customer = cfg.customer_of_token(token)
    if customer is None:
        raise _answers.refuse('unauthorized', 'the token is not known')
    return customer


def check_customer(name, caller, cfg):
    """Raise a Refusal unless `caller` may act for the customer `name`.

    Parameters
    ----------
    name : str
        Customer that the request names.
    caller : Customer or None
        Owner of the request's token.
    cfg : Configuration
    """
    customer = cfg.customers.get(name)
    if customer is None:
        raise _answers.refuse('unknown-customer', f'no customer {name!r}')
    if caller is None and customer.token_sha256:
        raise _answers.refuse('unauthorized', 'the customer needs a token')
    if caller is not None and caller.name != name:
        raise _answers.refuse(
            'forbidden', f'the token does not belong to {name!r}'
        )


def check_any_customer(caller, cfg):
    """Raise a Refusal if tokens are in use and the request carries none."""
    if caller is None and needs_tokens(cfg):
        raise _answers.refuse('unauthorized', 'a token is needed')


def needs_tokens(cfg):
    """Tell whether any customer has a token."""
    return any(item.token_sha256 for item in cfg.customers.values())
