"""The command line for operators."""

from .main import main

__all__ = ["main"]
