"""The operators' command line."""

from .main import main

__all__ = ["main"]
