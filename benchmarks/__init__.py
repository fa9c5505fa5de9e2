"""Benchmarks: each prints ratios against a baseline of the same run."""
