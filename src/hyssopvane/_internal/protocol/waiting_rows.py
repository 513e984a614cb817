"""Encode and decode what waits, by priority and customer."""

from collections.abc import Iterable, Iterator

from hyssopvane._internal.state.waiting import MAX_REQUESTS, MAX_ROWS, WaitingRow

MAX_BYTES = 1 + MAX_ROWS * (1 + 4 + 1 + 3 + MAX_ROWS)
"""Length of the longest valid encoding: each row has its own priority and customer."""

_CUSTOMER_BYTES = 4
_BITS = 7
_MORE = 1 << _BITS
_MAX_PRIORITY = 2**8 - 1


def encode_rows(rows: Iterable[WaitingRow]) -> bytes:
    """Encode at most `MAX_ROWS` rows with different priorities and customers."""
    counts: dict[int, dict[int, int]] = {}
    for row in rows:
        priority = min(_MAX_PRIORITY, row.priority)
        known = counts.setdefault(row.customer, {})
        known[priority] = known.get(priority, 0) + row.requests
    if not counts:
        return b""
    priorities = sorted({number for known in counts.values() for number in known})
    encoded = bytearray((len(priorities), *priorities))
    for customer, known in sorted(counts.items()):
        encoded += customer.to_bytes(_CUSTOMER_BYTES, "big")
        numbers = [known.get(one, 0) for one in priorities if one <= max(known)]
        encoded.append(len(numbers))
        for number in numbers:
            encoded += _encode_number(min(MAX_REQUESTS, number))
    return bytes(encoded)


def decode_rows(data: bytes) -> tuple[WaitingRow, ...]:
    """Decode rows; raise `ValueError` when they are invalid."""
    if not data:
        return ()
    if len(data) > MAX_BYTES:
        raise ValueError("what waits takes too many bytes")
    reader = iter(data)
    priorities = [_take(reader) for _ in range(_take(reader))]
    if not priorities or priorities != sorted(set(priorities)):
        raise ValueError("priorities of what waits are not in order")
    rows: list[WaitingRow] = []
    last = -1
    while (first := next(reader, None)) is not None:
        rest = (_take(reader) for _ in range(_CUSTOMER_BYTES - 1))
        customer = int.from_bytes(bytes((first, *rest)), "big")
        if customer <= last:
            raise ValueError("customers of what waits are not in order")
        last = customer
        size = _take(reader)
        if size > len(priorities):
            raise ValueError("what waits has more numbers than priorities")
        for priority in priorities[:size]:
            requests = _decode_number(reader)
            if requests:
                rows.append(WaitingRow(priority, customer, requests))
        if len(rows) > MAX_ROWS:
            raise ValueError("what waits has too many rows")
    rows.sort(key=lambda row: (row.priority, row.customer))
    return tuple(rows)


def _encode_number(number: int) -> bytes:
    encoded = bytearray()
    while number >= _MORE:
        encoded.append(number % _MORE | _MORE)
        number >>= _BITS
    encoded.append(number)
    return bytes(encoded)


def _decode_number(reader: Iterator[int]) -> int:
    number = shift = 0
    while True:
        part = _take(reader)
        number |= (part % _MORE) << shift
        shift += _BITS
        if number > MAX_REQUESTS or shift > 3 * _BITS:
            raise ValueError("a number of what waits is too large")
        if part < _MORE:
            return number


def _take(reader: Iterator[int]) -> int:
    byte = next(reader, None)
    if byte is None:
        raise ValueError("what waits is cut off")
    return byte
