"""Benchmarks that compare azurepier with its performance targets."""
