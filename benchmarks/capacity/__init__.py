"""Measurements for docs/CAPACITY.md; `make capacity` repeats them."""
