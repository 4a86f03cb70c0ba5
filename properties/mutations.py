from __future__ import annotations

from hypothesis import strategies as st


def _apply_edit(data: bytes, position: int, operation: str, inserted: bytes) -> bytes:
    position %= len(data) + 1
    head, tail = data[:position], data[position:]
    match operation:
        case "cut":
            return head
        case "drop":
            return head + tail[len(inserted) :]
        case "insert":
            return head + inserted + tail
        case "repeat":
            return head + tail + tail
        case _:
            return head + inserted + tail[len(inserted) :]


_EDITS = st.tuples(
    st.integers(0, 1 << 16),
    st.sampled_from(["cut", "drop", "insert", "repeat", "replace"]),
    st.binary(min_size=1, max_size=8),
)


@st.composite
def mutated(draw, originals):
    """Draw random bytes, or a valid original with one to four random edits."""
    if draw(st.booleans()):
        return draw(st.binary(max_size=300))
    data = draw(st.sampled_from(originals))
    for position, operation, inserted in draw(st.lists(_EDITS, min_size=1, max_size=4)):
        data = _apply_edit(data, position, operation, inserted)
    return data
