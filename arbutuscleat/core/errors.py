"""Errors as values: what is wrong and where it came from."""

from dataclasses import dataclass


@dataclass(frozen=True)
class ValidationError:
    """One fault found in an input.

    Parameters
    ----------
    source : str
        Where the fault stands, for example ``pool portal`` or a settings path.
    message : str
        What is wrong, in one sentence.
    """

    source: str
    message: str

    def __str__(self) -> str:
        """Return the fault in one line."""
        return f"{self.source}: {self.message}"


class InvariantError(BaseException):
    """A broken invariant of the program itself; the process must stop.

    It is no `Exception`, so that no library swallows it as a failed request.
    """
