"""Dispatcher for sub-second tasks.

The decisions are in packages without I/O (``kernel``, ``entry``,
``endpoint`` and what they are composed of); ``daemon``, ``web``, ``wire``
and ``platform`` connect them to the network. ``docs/design.md`` describes
the whole.
"""

__version__ = '0.1.0'
