"""Command line interface for operators and callers."""

from azurepier.cli._main import main

__all__ = [
    'main',
]
