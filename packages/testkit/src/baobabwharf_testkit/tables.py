"""Format tables for the console."""

from collections.abc import Sequence


def format_table(headers: Sequence[str], rows: Sequence[Sequence[str]]) -> str:
    """Return a table with aligned columns; numbers are right-aligned."""
    lines = [headers, *rows]
    widths = [
        max(len(line[column]) for line in lines)
        for column in range(len(headers))
    ]
    return '\n'.join(_format_line(line, widths) for line in lines)


def _format_line(line: Sequence[str], widths: list[int]) -> str:
    cells = []
    for text, width in zip(line, widths, strict=True):
        number = text[:1].isdigit() or text == '-'
        cells.append(text.rjust(width) if number else text.ljust(width))
    return '  '.join(cells).rstrip()


def percentile(samples: list[float], fraction: float) -> float | None:
    """Return a percentile by nearest rank; a fraction of 0.5 is the median."""
    if not samples:
        return None
    ordered = sorted(samples)
    return ordered[min(len(ordered) - 1, int(fraction * len(ordered)))]


def format_ms(value: float | None) -> str:
    """Return a time in ms, or a dash if there is none."""
    return '-' if value is None else f'{value:.0f}'
