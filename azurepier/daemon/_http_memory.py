"""Memory that one connection takes from the budget of all."""

import enum

import attrs


class Use(enum.Enum):
    """What a connection takes memory for."""

    REQUEST = 1
    UNSENT = 2
    PAUSED = 3


@attrs.define(eq=False)
class ConnectionMemory:
    """Memory that a connection has taken, by use.

    Parameters
    ----------
    budget : azurepier.daemon._limits.Budget
    taken : dict of Use to int
        In bytes.
    """

    budget: object
    taken: dict = attrs.field(factory=dict)

    def take(self, use, count):
        """Take memory (bytes); return False if there is too little."""
        if not self.budget.take(count):
            return False
        self.taken[use] = self.taken.get(use, 0) + count
        return True

    def give_back(self, *uses):
        """Return the memory that was taken for some uses."""
        for use in uses:
            self.budget.take(-self.taken.pop(use, 0))
