"""Slopes for docs/CAPACITY.md: `make capacity` prints them again."""
