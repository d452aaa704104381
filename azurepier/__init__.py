"""Dispatcher for sub-second tasks.

The decision logic is in packages without I/O (``kernel``, ``entry``,
``endpoint`` and the packages they build on); ``daemon``, ``web``, ``wire``
and ``etcd`` connect it to the network. See ``docs/design.md`` for the
architecture.
"""

__version__ = '0.1.0'
