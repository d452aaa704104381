"""Set of the keys below a prefix, followed over the changes of the store."""

import attrs


@attrs.define
class KeySet:
    """Names of the keys below a prefix; their values don't matter.

    Parameters
    ----------
    prefix : str

    Attributes
    ----------
    names : set of str
        The keys without the prefix.
    revision : int
        Revision of the store at which these keys existed; -1 before the
        first page.
    """

    prefix: str
    names: set = attrs.field(factory=set)
    revision: int = -1

    def apply(self, page, complete):
        """Apply a page of items, which is a snapshot or a list of changes.

        Parameters
        ----------
        page : Page
        complete : bool
            Whether the page is a snapshot. One from which items are omitted
            removes nothing, since their keys are not known.
        """
        if page.revision < self.revision:
            return
        self.revision = page.revision
        if complete and not page.omitted:
            self.names.clear()
        for item in page.items:
            if not item.key.startswith(self.prefix):
                continue
            name = item.key[len(self.prefix) :]
            if item.value is None:
                self.names.discard(name)
            else:
                self.names.add(name)
