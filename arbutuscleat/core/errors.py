"""Errors: validation errors, which are returned as values, and broken invariants."""

from dataclasses import dataclass


@dataclass(frozen=True)
class ValidationError:
    """An error in an input.

    Parameters
    ----------
    source : str
        Where the error is, for example ``pool portal`` or a settings path.
    message : str
        What is wrong, in one sentence.
    """

    source: str
    message: str

    def __str__(self) -> str:
        """Return the error as one line."""
        return f"{self.source}: {self.message}"


class InvariantError(BaseException):
    """An invariant of the program is broken, so the process must exit.

    It is not a subclass of `Exception`, so that no library catches it and treats it as
    a failed request.
    """
