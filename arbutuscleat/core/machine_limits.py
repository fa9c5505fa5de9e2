"""What the machine of a process has, as far as limits follow from it."""

from dataclasses import dataclass

MEBIBYTE = 1_024 * 1_024


@dataclass(frozen=True)
class MachineLimits:
    """Memory and descriptors of one process.

    Parameters
    ----------
    memory_bytes : int, default=167772160
        Memory; by default that of the smallest machines, 160 MB.
    max_files : int, default=4096
        Descriptors; by default as many as a process usually may have.
    """

    memory_bytes: int = 160 * MEBIBYTE
    max_files: int = 4_096

    def __post_init__(self) -> None:
        """Check the values.

        Raises
        ------
        ValueError
            If one is not positive.
        """
        if self.memory_bytes <= 0 or self.max_files <= 0:
            raise ValueError("memory and descriptors of a machine must be positive")
