"""Benchmarks, most of which print ratios to a baseline measured in the same run."""
