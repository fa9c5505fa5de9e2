"""Checks of what callers, workers, provider and operators see."""
