"""Demos and annotated settings files."""
