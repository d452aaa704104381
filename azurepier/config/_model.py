"""Customers, plans and the configuration that holds them."""

import hashlib
import hmac

import attrs

from azurepier import kernel


@attrs.frozen
class Customer:
    """A tenant.

    `token_sha256` is the SHA-256 of the bearer token as 64 lower-case
    hexadecimal digits, or None for a customer without a token.
    """

    name: str
    plan: str
    token_sha256: str | None = None


@attrs.frozen
class Plan:
    """What each customer of the plan may use.

    Parameters
    ----------
    name : str
        Name by which customers refer to the plan.
    starts_per_s : float
        Task starts per second over all entries.
    concurrent : int
        Tasks that run at the same time over all endpoints.
    queue : int
        Tasks that may wait.
    weight : float
        Share of the capacity relative to other customers.
    largest_job : int
        Largest number of tasks in a job.
    urgent_share : float
        Share (0 to 1) of the customer's work that counts as urgent.
    """

    name: str
    starts_per_s: float
    concurrent: int
    queue: int
    weight: float = 1.0
    largest_job: int = kernel.MAX_TASKS
    urgent_share: float = 0.5


def _token_index(cfg):
    return {
        customer.token_sha256: customer
        for customer in cfg.customers.values()
        if customer.token_sha256
    }


@attrs.frozen
class Configuration:
    """One version of the operators' lists; never changed after creation.

    Parameters
    ----------
    version : int
        Grows with each change.
    edit_id : str
        Random name of the edit that wrote this version.
    author : str
        Who made the edit.
    customers, plans : dict
        `Customer` and `Plan` objects by name.
    """

    version: int
    edit_id: str
    author: str
    customers: dict
    plans: dict
    _by_token: dict = attrs.field(
        init=False,
        eq=False,
        repr=False,
        default=attrs.Factory(_token_index, takes_self=True),
    )

    def customer_of_token(self, token):
        """Return the `Customer` that owns a bearer token, or None.

        Notes
        -----
        The lookup is by the token's SHA-256. Its timing depends on the
        digest alone, from which a caller learns nothing about the digests
        in the list; the final comparison takes constant time.
        """
        digest = hashlib.sha256(token.encode('utf-8', 'replace')).hexdigest()
        customer = self._by_token.get(digest)
        known = customer.token_sha256 if customer else '0' * len(digest)
        return customer if hmac.compare_digest(known, digest) else None
