"""Set up the allocator of the C library."""

import ctypes

# See malloc.h of the GNU C library.
_M_MMAP_THRESHOLD = -3
_THRESHOLD_BYTES = 131_072


def return_large_blocks() -> bool:
    """Give large blocks back to the system as soon as they are freed.

    By default the threshold rises to the size of the largest block freed; large
    bodies then fragment the heap, which keeps their memory.  Returns False with
    C libraries that have no such option.
    """
    mallopt = getattr(ctypes.CDLL(None), 'mallopt', None)
    return bool(mallopt and mallopt(_M_MMAP_THRESHOLD, _THRESHOLD_BYTES))
