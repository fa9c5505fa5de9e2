"""Text tables."""

from collections.abc import Sequence


def format_table(columns: Sequence[str], rows: Sequence[Sequence[object]]) -> str:
    """Return the rows as text with aligned columns, one line each.

    Parameters
    ----------
    columns : sequence of str
        Headings.
    rows : sequence of sequence
        Cells of each row, one for each column.

    Examples
    --------
    >>> print(format_table(["NAME", "SIZE"], [["portal", 8]]))
    NAME    SIZE
    portal  8
    """
    cells = [list(columns), *[[str(cell) for cell in row] for row in rows]]
    widths = [max(len(row[i]) for row in cells) for i in range(len(columns))]
    lines = []
    for row in cells:
        padded = [cell.ljust(width) for cell, width in zip(row, widths)]
        lines.append("  ".join(padded).rstrip())
    return "\n".join(lines)
