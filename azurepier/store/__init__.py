"""Fault-tolerant use of an external key-value store."""

from azurepier.store._follow import follow
from azurepier.store._follow import RETRY_MIN_S
from azurepier.store._interface import HistoryLostError
from azurepier.store._interface import Item
from azurepier.store._interface import LeaseLostError
from azurepier.store._interface import NoAnswerError
from azurepier.store._interface import Page
from azurepier.store._interface import StoreError
from azurepier.store._keys import KeySet
from azurepier.store._register import register

__all__ = [
    'HistoryLostError',
    'Item',
    'KeySet',
    'LeaseLostError',
    'NoAnswerError',
    'Page',
    'RETRY_MIN_S',
    'StoreError',
    'follow',
    'register',
]
