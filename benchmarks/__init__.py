"""Benchmarks of azurepier against its performance targets."""
