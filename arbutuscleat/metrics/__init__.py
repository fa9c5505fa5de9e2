"""Counters, gauges and latency histograms of one process."""

from .metrics import Metrics, labelled

__all__ = ["Metrics", "labelled"]
