"""A form in which large values may lie in the store: compressed, with a mark.

This build reads the form and does not write it yet: earlier builds, which may run in
the same deployment during an upgrade, would go on with the key table before such a one.

A key table of 27 owners takes some 4 KB, is written several times a second during
faults and is read by several daemons of each region. Only calls to the store use this
form. Within a process, and in pushes between daemons, values are plain: frames are
compressed as a stream, in which a table refers to the version before it.
"""

from __future__ import annotations

import zlib

#: First byte of a compressed value. MessagePack does not use it, and UTF-8 does not
#: contain it, so it begins no plain value.
MARK = b"\xc1"
#: Size from which a value is compressed; shorter ones gain little.
MIN_PACKED_BYTES = 512
#: Limit of an unpacked value.
MAX_VALUE_BYTES = 16 << 20


def pack_value(value: bytes) -> bytes:
    """Return the stored form of a value: compressed if it is shorter for that.

    Only tests call it in this build.
    """
    if len(value) < MIN_PACKED_BYTES or len(value) > MAX_VALUE_BYTES:
        return value
    packed = MARK + zlib.compress(value)
    return packed if len(packed) < len(value) else value


def unpack_value(stored: bytes) -> bytes:
    """Return the value of a stored form.

    What has the mark and cannot be inflated is returned as it is. It is no valid record
    and is rejected as such, like any other unreadable value.
    """
    if not stored.startswith(MARK):
        return stored
    inflater = zlib.decompressobj()
    try:
        value = inflater.decompress(stored[len(MARK) :], MAX_VALUE_BYTES)
    except zlib.error:
        return stored
    return value if inflater.eof else stored
