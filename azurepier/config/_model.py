"""Data model of the configuration: customers and plans."""

import hashlib
import hmac

import attrs

from azurepier import kernel


@attrs.frozen
class Customer:
    """An organisation that submits jobs.

    Parameters
    ----------
    name : str
    plan : str
        Name of its `Plan`.
    token_sha256 : str, optional
        SHA-256 of the bearer token, 64 lower-case hexadecimal digits. None
        for a customer that needs no token.
    """

    name: str
    plan: str
    token_sha256: str | None = None


@attrs.frozen
class Plan:
    """Quotas that apply to each customer on the plan.

    Parameters
    ----------
    name : str
        Name that customers refer to.
    starts_per_s : float
        Maximum rate of task starts, summed over all entries (1/s).
    concurrent : int
        Maximum number of running tasks, summed over all endpoints.
    queue : int
        Maximum number of waiting tasks.
    weight : float
        Relative weight for the fair share of the capacity.
    largest_job : int
        Maximum number of tasks in a job.
    urgent_share : float
        Maximum fraction (0 to 1) of the customer's work that is treated as
        urgent.
    """

    name: str
    starts_per_s: float
    concurrent: int
    queue: int
    weight: float = 1.0
    largest_job: int = kernel.MAX_TASKS
    urgent_share: float = 0.5


def _index_by_token(cfg):
    return {
        customer.token_sha256: customer
        for customer in cfg.customers.values()
        if customer.token_sha256
    }


@attrs.frozen
class Configuration:
    """An immutable version of the customers and plans.

    Parameters
    ----------
    version : int
        Increases with each change.
    edit_id : str
        Random id of the edit that wrote this version.
    author : str
        Name of the operator who made the edit.
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
        default=attrs.Factory(_index_by_token, takes_self=True),
    )

    def customer_of_token(self, token):
        """Return the `Customer` with the given bearer token, or None.

        Notes
        -----
        The lookup uses the SHA-256 of the token, so that its timing reveals
        nothing about the digests in the list. The final comparison takes
        constant time.
        """
        digest = hashlib.sha256(token.encode('utf-8', 'replace')).hexdigest()
        customer = self._by_token.get(digest)
        expected = customer.token_sha256 if customer else '0' * len(digest)
        return customer if hmac.compare_digest(expected, digest) else None
